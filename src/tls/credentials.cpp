#include "tls/credentials.h"

#include "common/log.h"
#include "tls/internal/tls_credentials.h"

#include <openssl/ssl.h>
#include <sys/stat.h>

namespace almondline {

namespace ssl = boost::asio::ssl;

namespace {

bool check_result(const boost::system::error_code& ec, const std::string& path, std::string& error)
{
    if (ec) {
        error = path + ": " + ec.message();
    }
    return !ec;
}

bool use_own_certificate(ssl::context& context, const tls_files& files, std::string& error)
{
    boost::system::error_code ec;
    context.use_certificate_chain_file(files.certificate, ec);
    if (!check_result(ec, files.certificate, error)) {
        return false;
    }
    // OpenSSL refuses a key that does not match the certificate.
    context.use_private_key_file(files.key, ssl::context::pem, ec);
    return check_result(ec, files.key, error);
}

bool require_peer_certificate(ssl::context& context, const tls_files& files, std::string& error)
{
    boost::system::error_code ec;
    context.load_verify_file(files.ca, ec);
    if (!check_result(ec, files.ca, error)) {
        return false;
    }
    context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, ec);
    // A resumed session would skip verifying the certificate against the current CA.
    SSL_CTX_set_session_cache_mode(context.native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(context.native_handle(), SSL_OP_NO_TICKET);
    return check_result(ec, files.ca, error);
}

std::shared_ptr<tls_credentials> load(const tls_files& files, const clock_source& clock,
                                      std::string& error)
{
    auto credentials = std::make_shared<tls_credentials>(files, clock);
    error = credentials->load();
    return error.empty() ? credentials : nullptr;
}

} // namespace

tls_credentials::tls_credentials(tls_files files, const clock_source& clock)
    : files_{std::move(files)}, clock_{clock}
{
}

tls_credentials::file_stamp tls_credentials::stamp_of(const std::string& path)
{
    struct stat info = {};
    if (path.empty() || ::stat(path.c_str(), &info) != 0) {
        return {};
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return {info.st_mtim.tv_sec * ns_per_s + info.st_mtim.tv_nsec, info.st_size, info.st_ino};
}

std::vector<tls_credentials::file_stamp> tls_credentials::stamps() const
{
    return {stamp_of(files_.certificate), stamp_of(files_.key), stamp_of(files_.ca)};
}

tls_credentials::context_ptr tls_credentials::read_files(std::string& error) const
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                         ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                         ssl::context::no_tlsv1_1);
    if (!files_.certificate.empty() && !use_own_certificate(*context, files_, error)) {
        return nullptr;
    }
    if (!files_.ca.empty() && !require_peer_certificate(*context, files_, error)) {
        return nullptr;
    }
    return context;
}

std::string tls_credentials::load()
{
    const std::lock_guard lock{mutex_};
    std::string error;
    checked_ = clock_.now();
    // Taken before reading, so that a change during the read is detected at the next check.
    loaded_ = stamps();
    context_ = read_files(error);
    return error;
}

tls_credentials::context_ptr tls_credentials::current()
{
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    if (now - checked_ < tls_check_interval) {
        return context_;
    }
    checked_ = now;
    auto found = stamps();
    if (found == loaded_) {
        return context_;
    }
    loaded_ = std::move(found);
    std::string error;
    if (auto fresh = read_files(error)) {
        context_ = std::move(fresh);
        log_event("tls", log_level::info, "certificates-renewed", {{"file", files_.certificate}});
    }
    else {
        log_event("tls", log_level::warning, "certificates-not-renewed", {{"reason", error}});
    }
    return context_;
}

std::shared_ptr<tls_credentials> load_tls_server(const tls_files& files, const clock_source& clock,
                                                 std::string& error)
{
    if (files.certificate.empty() || files.key.empty()) {
        error = "TLS needs both a certificate and a key";
        return nullptr;
    }
    return load({files.certificate, files.key, {}}, clock, error);
}

std::shared_ptr<tls_credentials> load_tls_client(const tls_files& files, const clock_source& clock,
                                                 std::string& error)
{
    if (files.ca.empty()) {
        error = "TLS needs a CA to verify servers";
        return nullptr;
    }
    return load({{}, {}, files.ca}, clock, error);
}

std::shared_ptr<tls_credentials> load_tls_peer(const tls_files& files, const clock_source& clock,
                                               std::string& error)
{
    if (files.certificate.empty() || files.key.empty() || files.ca.empty()) {
        error = "mutual TLS needs a certificate, a key and a CA";
        return nullptr;
    }
    return load(files, clock, error);
}

} // namespace almondline
