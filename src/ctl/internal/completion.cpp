#include "ctl/internal/completion.h"

namespace almondline::ctl {

std::string format_bash_completion(const std::string& program,
                                   const std::vector<completion_rule>& rules)
{
    std::string out = "_" + program +
                      "() {\n"
                      "    local word commands=\"\" words=\"\" i\n"
                      "    word=\"${COMP_WORDS[COMP_CWORD]}\"\n"
                      "    for ((i = 1; i < COMP_CWORD; i++)); do\n"
                      "        [[ \"${COMP_WORDS[i]}\" =~ ^[a-z][a-z-]*$ ]] || continue\n"
                      "        case \"${commands:+$commands }${COMP_WORDS[i]}\" in\n";
    for (const auto& it : rules) {
        if (!it.commands.empty()) {
            out += "        \"" + it.commands + "\") commands=\"" + it.commands + "\" ;;\n";
        }
    }
    out += "        esac\n"
           "    done\n"
           "    case \"$commands\" in\n";
    for (const auto& it : rules) {
        out += "    \"" + it.commands + "\") words=\"";
        for (const auto& word : it.words) {
            out += (&word == it.words.data() ? "" : " ") + word;
        }
        out += "\" ;;\n";
    }
    out += "    esac\n"
           "    mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$word\")\n"
           "}\n"
           "complete -o default -F _" +
           program + " " + program + "\n";
    return out;
}

} // namespace almondline::ctl
