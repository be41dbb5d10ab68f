#include "distribution/internal/text_patch.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <memory>
#include <utility>
#include <zstd.h>

namespace almondline::distribution {

namespace {

constexpr int compression_level = 3;
constexpr int min_window_log = 17;

struct context_deleter {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// Base-2 logarithm of a window that covers the base and the text.
int window_log(std::size_t bytes)
{
    return std::max(min_window_log, static_cast<int>(std::bit_width(bytes)));
}

/// Decompresses the first of the frames. Returns nullopt if it is malformed or too large.
std::optional<std::string> apply_frame(ZSTD_DCtx* context, std::string_view base,
                                       std::string_view frame)
{
    const auto text_bytes = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (text_bytes == ZSTD_CONTENTSIZE_UNKNOWN || text_bytes == ZSTD_CONTENTSIZE_ERROR ||
        text_bytes > max_text_bytes) {
        return std::nullopt;
    }
    if (ZSTD_isError(ZSTD_DCtx_refPrefix(context, base.data(), base.size())) != 0U) {
        return std::nullopt;
    }
    std::string text(text_bytes, '\0');
    const auto n =
        ZSTD_decompressDCtx(context, text.data(), text.size(), frame.data(), frame.size());
    if (ZSTD_isError(n) != 0U || n != text_bytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace

std::string make_patch(std::string_view base, std::string_view text)
{
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context{ZSTD_createCCtx()};
    if (!context) {
        return {};
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(base.size() + text.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    if (ZSTD_isError(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size())) != 0U) {
        return {};
    }
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    const auto n =
        ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    if (ZSTD_isError(n) != 0U) {
        return {};
    }
    patch.resize(n);
    patch.shrink_to_fit();
    return patch;
}

std::optional<std::string> apply_patches(std::string base, std::string_view patches)
{
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context{ZSTD_createDCtx()};
    if (!context || patches.empty()) {
        return std::nullopt;
    }
    while (!patches.empty()) {
        const auto n = ZSTD_findFrameCompressedSize(patches.data(), patches.size());
        if (ZSTD_isError(n) != 0U) {
            return std::nullopt;
        }
        auto text = apply_frame(context.get(), base, patches.substr(0, n));
        if (!text) {
            return std::nullopt;
        }
        base = std::move(*text);
        patches.remove_prefix(n);
    }
    return base;
}

} // namespace almondline::distribution
