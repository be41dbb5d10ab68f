#include "common/types/verdict.h"

namespace almondline {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    case verdict::ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace almondline
