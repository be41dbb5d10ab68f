#include "tls/internal/optional_tls_stream.h"

#include <memory>
#include <openssl/x509v3.h>

namespace almondline::tls_internal {

namespace {

std::string_view text_of(const ASN1_IA5STRING* text)
{
    return {reinterpret_cast<const char*>(ASN1_STRING_get0_data(text)),
            static_cast<std::size_t>(ASN1_STRING_length(text))};
}

void free_names(GENERAL_NAMES* names)
{
    GENERAL_NAMES_free(names);
}

} // namespace

bool set_identity(SSL* connection, const server_identity& identity)
{
    if (!identity.name.empty()) {
        return SSL_set1_host(connection, identity.name.c_str()) == 1 &&
               SSL_set_tlsext_host_name(connection, identity.name.c_str()) == 1;
    }
    return identity.ip.empty() ||
           X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(connection), identity.ip.c_str()) == 1;
}

std::string describe_failure(const SSL* connection, const boost::system::error_code& ec)
{
    const auto result = SSL_get_verify_result(connection);
    return "TLS handshake: " +
           (result == X509_V_OK ? ec.message() : X509_verify_cert_error_string(result));
}

bool has_certificate_name(const SSL* connection, const std::string& name)
{
    const std::unique_ptr<X509, void (*)(X509*)> certificate{SSL_get1_peer_certificate(connection),
                                                             X509_free};
    if (!certificate) {
        return false;
    }
    const std::unique_ptr<GENERAL_NAMES, void (*)(GENERAL_NAMES*)> names{
        static_cast<GENERAL_NAMES*>(
            X509_get_ext_d2i(certificate.get(), NID_subject_alt_name, nullptr, nullptr)),
        free_names};
    // Not X509_check_host: it ignores case and accepts wildcards, but instance ids are exact.
    for (int i = 0; names && i < sk_GENERAL_NAME_num(names.get()); ++i) {
        const auto* it = sk_GENERAL_NAME_value(names.get(), i);
        if (it->type == GEN_DNS && text_of(it->d.dNSName) == name) {
            return true;
        }
    }
    return false;
}

} // namespace almondline::tls_internal
