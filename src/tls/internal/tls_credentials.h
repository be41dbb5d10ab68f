#pragma once

#include "tls/credentials.h"

#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace almondline {

class tls_credentials {
public:
    using context_ptr = std::shared_ptr<boost::asio::ssl::context>;

    tls_credentials(tls_files files, const clock_source& clock);

    /// Reads the files. Returns an empty string or the error.
    std::string load();
    /// Returns the context of the current files. A connection keeps the context it started with.
    context_ptr current();

private:
    /// File metadata that shows a change without reading the file.
    struct file_stamp {
        std::int64_t modified_ns = 0;
        std::int64_t size = 0;
        std::uint64_t inode = 0;
        bool operator==(const file_stamp&) const = default;
    };

    static file_stamp stamp_of(const std::string& path);
    std::vector<file_stamp> stamps() const;
    context_ptr read_files(std::string& error) const;

    const tls_files files_;
    const clock_source& clock_;
    std::mutex mutex_;
    context_ptr context_;
    std::vector<file_stamp> loaded_; ///< stamps at the last attempt to read
    steady_time checked_{};
};

} // namespace almondline
