#pragma once

#include "tls/credentials.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>

namespace almondline::tls_test {

struct certificate_spec {
    std::string dns_name; ///< empty: none
    std::string ip;       ///< empty: none
    std::chrono::seconds valid_for{3600};
};

/// Certificate authority for a test. Writes PEM files into its own directory, which is removed on
/// destruction.
class certificate_authority {
public:
    certificate_authority();
    ~certificate_authority();
    certificate_authority(const certificate_authority&) = delete;
    certificate_authority& operator=(const certificate_authority&) = delete;

    /// Issues a certificate with a new key. Overwrites existing files of the same name.
    tls_files issue(const std::string& file_name, const certificate_spec& spec);
    std::string path(const std::string& file_name) const { return directory_ / file_name; }
    std::string ca_path() const { return path("ca.pem"); }

private:
    struct keys;
    std::filesystem::path directory_;
    std::unique_ptr<keys> keys_;
};

void write_file(const std::string& path, const std::string& content);
std::string read_file(const std::string& path);

} // namespace almondline::tls_test
