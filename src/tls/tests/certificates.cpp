#include "tls/tests/certificates.h"

#include "common/hash.h"

#include <fstream>
#include <iterator>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>

namespace almondline::tls_test {

namespace {

template <class T>
struct deleter {
    void (*free)(T*);
    void operator()(T* it) const { free(it); }
};
template <class T>
using openssl_ptr = std::unique_ptr<T, deleter<T>>;

void require(bool holds)
{
    if (!holds) {
        throw std::runtime_error{"OpenSSL could not create a test certificate"};
    }
}

openssl_ptr<EVP_PKEY> make_key()
{
    openssl_ptr<EVP_PKEY> key{EVP_EC_gen("P-256"), {EVP_PKEY_free}};
    require(key != nullptr);
    return key;
}

void add_extension(X509* certificate, int nid, const std::string& value)
{
    const openssl_ptr<X509_EXTENSION> extension{
        X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str()), {X509_EXTENSION_free}};
    require(extension && X509_add_ext(certificate, extension.get(), -1) == 1);
}

openssl_ptr<X509> make_certificate(EVP_PKEY* key, const std::string& name,
                                   std::chrono::seconds valid_for)
{
    constexpr long version_3 = 2;
    constexpr long backdating_seconds = 7200;
    static long serial = 0;
    openssl_ptr<X509> certificate{X509_new(), {X509_free}};
    X509_set_version(certificate.get(), version_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -backdating_seconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), valid_for.count());
    X509_set_pubkey(certificate.get(), key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    return certificate;
}

void write_pem(const std::string& path, X509* certificate)
{
    const openssl_ptr<BIO> out{BIO_new_file(path.c_str(), "w"), {BIO_free_all}};
    require(out && PEM_write_bio_X509(out.get(), certificate) == 1);
}

void write_pem(const std::string& path, EVP_PKEY* key)
{
    const openssl_ptr<BIO> out{BIO_new_file(path.c_str(), "w"), {BIO_free_all}};
    require(out &&
            PEM_write_bio_PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr) == 1);
}

} // namespace

struct certificate_authority::keys {
    openssl_ptr<EVP_PKEY> key = make_key();
    openssl_ptr<X509> certificate;
};

certificate_authority::certificate_authority()
    : directory_{std::filesystem::temp_directory_path() / ("almondline-tls-" + random_id())},
      keys_{std::make_unique<keys>()}
{
    std::filesystem::create_directories(directory_);
    // All authorities have the same name and differ only in their keys, as after a renewal.
    keys_->certificate = make_certificate(keys_->key.get(), "test ca", std::chrono::hours{1});
    auto* certificate = keys_->certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    add_extension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    require(X509_sign(certificate, keys_->key.get(), EVP_sha256()) != 0);
    write_pem(ca_path(), certificate);
}

certificate_authority::~certificate_authority()
{
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

tls_files certificate_authority::issue(const std::string& file_name, const certificate_spec& spec)
{
    const auto key = make_key();
    const auto certificate = make_certificate(key.get(), file_name, spec.valid_for);
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(keys_->certificate.get()));
    std::string names = spec.dns_name.empty() ? "" : "DNS:" + spec.dns_name;
    if (!spec.ip.empty()) {
        names += (names.empty() ? "IP:" : ",IP:") + spec.ip;
    }
    add_extension(certificate.get(), NID_subject_alt_name, names);
    require(X509_sign(certificate.get(), keys_->key.get(), EVP_sha256()) != 0);
    tls_files files{path(file_name + ".pem"), path(file_name + ".key"), ca_path()};
    write_pem(files.certificate, certificate.get());
    write_pem(files.key, key.get());
    return files;
}

void write_file(const std::string& path, const std::string& content)
{
    std::ofstream{path} << content;
}

std::string read_file(const std::string& path)
{
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
}

} // namespace almondline::tls_test
