#include "gateway/request_fingerprint.h"

#include "common/hash.h"

namespace almondline::gateway {

std::uint64_t request_fingerprint(const call& request, const std::string& account)
{
    const auto& message = request.message;
    return granting::whole_request_bit |
           sha256_prefix({message.method, request.host, message.target, account, message.body});
}

granting::fingerprints fingerprints_of(const call& request, const std::string& account)
{
    granting::fingerprints out;
    out.reserve(request.prompt_parts.size() + 1);
    for (const auto it : request.prompt_parts) {
        out.push_back(it & ~granting::whole_request_bit);
    }
    out.push_back(request_fingerprint(request, account));
    return out;
}

} // namespace almondline::gateway
