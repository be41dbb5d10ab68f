#pragma once

#include "common/clock.h"

#include <chrono>
#include <memory>
#include <string>

namespace almondline {

/// Paths of PEM files.
struct tls_files {
    std::string certificate; ///< own certificate, followed by intermediate certificates
    std::string key;         ///< private key of the certificate
    std::string ca;          ///< CA certificates that must have issued the other side's certificate
};

/// Certificates of one TLS endpoint. Changed files are reloaded at the next handshake, at most once
/// per tls_check_interval. If they can't be read or don't match, the previous certificates stay in
/// use and a warning is logged. Thread-safe.
class tls_credentials;

constexpr std::chrono::milliseconds tls_check_interval{1'000};

/// Each function reads the files. Returns nullptr and fills in the error if a required file is not
/// given, can't be read or does not match; the last two with its path. The clock must outlive the
/// credentials.
///
/// For a server with a certificate and a key that requests no client certificate.
std::shared_ptr<tls_credentials> load_tls_server(const tls_files& files, const clock_source& clock,
                                                 std::string& error);
/// For a client that verifies servers against a CA.
std::shared_ptr<tls_credentials> load_tls_client(const tls_files& files, const clock_source& clock,
                                                 std::string& error);
/// For either side of mutual TLS, which needs all three files.
std::shared_ptr<tls_credentials> load_tls_peer(const tls_files& files, const clock_source& clock,
                                               std::string& error);

} // namespace almondline
