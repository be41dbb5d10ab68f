#pragma once

#include <string_view>

namespace almondline::fuzz {

/// Each function passes the input to the parsers of one kind of external input and checks
/// invariants of the result. Throws invariant_failure if one does not hold.
void fuzz_settings(std::string_view input);
void fuzz_manifest(std::string_view input);
void fuzz_json(std::string_view input);
void fuzz_reports(std::string_view input);
void fuzz_event_stream(std::string_view input);
void fuzz_completion(std::string_view input);
void fuzz_peer_frame(std::string_view input);
void fuzz_store_records(std::string_view input);
void fuzz_minted_key(std::string_view input);
void fuzz_caller_request(std::string_view input);
void fuzz_http_target(std::string_view input);
void fuzz_instance_list(std::string_view input);
void fuzz_store_answers(std::string_view input);

} // namespace almondline::fuzz
