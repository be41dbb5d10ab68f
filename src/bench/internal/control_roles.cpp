#include "bench/internal/control_roles.h"

#include "peer/frame.h"
#include "peer/wire.h"

#include <algorithm>
#include <iostream>
#include <limits>
#include <malloc.h>
#include <streambuf>

namespace almondline::bench {

namespace {

/// Stream buffer that discards all output.
class discarding_buffer final : public std::streambuf {
protected:
    int_type overflow(int_type c) override { return traits_type::not_eof(c); }
    std::streamsize xsputn(const char*, std::streamsize count) override { return count; }
};

} // namespace

void control_role::add(const std::string& figure, const std::string& unit,
                       const std::string& variable, double size, double value)
{
    auto it = std::find_if(series.begin(), series.end(),
                           [&](const control_series& each) { return each.figure == figure; });
    if (it == series.end()) {
        series.push_back({name, figure, unit, variable, {}, {}});
        it = std::prev(series.end());
    }
    it->sizes.push_back(size);
    it->values.push_back(value);
}

std::vector<control_role> measure_control_roles()
{
    std::vector<control_role> all;
    // Discards the log, which is written to std::clog.
    discarding_buffer discarding;
    std::streambuf* const old = std::clog.rdbuf(&discarding);
    for (const auto& measure : {measure_frames, measure_granting, measure_membership,
                                measure_manifest, measure_distribution, measure_idempotency,
                                measure_placement, measure_decision_log, measure_store_calls}) {
        all.push_back(measure());
    }
    std::clog.rdbuf(old);
    return all;
}

double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double min_ns_per_call(int batch, const std::function<void()>& call)
{
    constexpr int batches = 5;
    double least = std::numeric_limits<double>::max();
    for (int i = 0; i < batches; ++i) {
        const double start = processor_ns();
        for (int n = 0; n < batch; ++n) {
            call();
        }
        least = std::min(least, (processor_ns() - start) / batch);
    }
    return least;
}

std::string encode(const wire::envelope& message)
{
    std::string frame;
    peer::encode_frame(message, frame);
    return frame;
}

wire::envelope decode(std::string_view frame)
{
    wire::envelope message;
    peer::decode_body(frame.substr(peer::frame_header_bytes), message);
    return message;
}

} // namespace almondline::bench
