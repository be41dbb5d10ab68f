#pragma once

#include "common/clock.h"

#include <chrono>
#include <memory>
#include <string>

namespace almondline {

/// Paths of PEM files.
struct tls_files {
    std::string certificate; ///< own certificate, followed by the intermediate ones
    std::string key;         ///< private key of the certificate
    std::string ca;          ///< certificates that the other side's must be issued by
};

/// Certificates of one TLS endpoint. The files are read again after they changed, at the next
/// handshake but at most once per tls_check_interval; while they can't be read or don't match, the
/// previous ones stay in use and a warning is logged. Thread-safe.
class tls_credentials;

constexpr std::chrono::milliseconds tls_check_interval{1'000};

/// Each reads the files. Returns nullptr and fills in the error, with the path, if one is not
/// given, can't be read or does not match. The clock must outlive the credentials.
///
/// Server with a certificate and a key that asks for no certificate of the client.
std::shared_ptr<tls_credentials> load_tls_server(const tls_files& files, const clock_source& clock,
                                                 std::string& error);
/// Client that checks servers by a CA.
std::shared_ptr<tls_credentials> load_tls_client(const tls_files& files, const clock_source& clock,
                                                 std::string& error);
/// Both sides of mutual TLS: all three files.
std::shared_ptr<tls_credentials> load_tls_peer(const tls_files& files, const clock_source& clock,
                                               std::string& error);

} // namespace almondline
