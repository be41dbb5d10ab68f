#include "entry/internal/decision_collector.h"

#include "common/hash.h"
#include "peer/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::entry {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds answer_timeout{1};

} // namespace

decision_collector::decision_collector(std::string instance_id,
                                       const granting::decision_log& decisions, peer_sender& sender)
    : instance_id_{std::move(instance_id)}, decisions_{decisions}, sender_{sender}
{
}

void decision_collector::start(const std::string& request_id, const std::vector<std::string>& peers,
                               steady_time now, deliver done)
{
    query started;
    started.request_id = request_id;
    started.unanswered = peers.size();
    started.deadline = now + answer_timeout;
    started.lines[instance_id_] = decisions_.explain(request_id);
    started.done = std::move(done);
    if (peers.empty()) {
        finish(started);
        return;
    }
    wire::explain_query peer_query;
    peer_query.query_id = random_id();
    peer_query.request_id = request_id;
    wire::envelope message;
    message.__set_explain(peer_query);
    queries_.emplace(peer_query.query_id, std::move(started));
    for (const auto& it : peers) {
        sender_.send(it, message);
    }
}

void decision_collector::handle(const std::string& from, const wire::envelope& message)
{
    if (message.__isset.explain) {
        wire::explain_reply reply;
        reply.query_id = message.explain.query_id;
        reply.lines = decisions_.explain(message.explain.request_id);
        wire::envelope answer;
        answer.__set_explained(reply);
        sender_.send(from, answer);
        return;
    }
    if (!message.__isset.explained) {
        return;
    }
    const auto it = queries_.find(message.explained.query_id);
    if (it == queries_.end() || it->second.lines.count(from) != 0) {
        return;
    }
    it->second.lines[from] = message.explained.lines;
    if (--it->second.unanswered == 0) {
        finish(it->second);
        queries_.erase(it);
    }
}

void decision_collector::tick(steady_time now)
{
    std::erase_if(queries_, [&](const auto& it) {
        if (now < it.second.deadline) {
            return false;
        }
        finish(it.second);
        return true;
    });
}

void decision_collector::finish(const query& finished) const
{
    json::array decisions;
    for (const auto& [instance, lines] : finished.lines) {
        for (const auto& line : lines) {
            decisions.push_back(json::object{{"instance", instance}, {"line", line}});
        }
    }
    finished.done(json::serialize(json::object{{"request_id", finished.request_id},
                                               {"unanswered_instances", finished.unanswered},
                                               {"decisions", std::move(decisions)}}));
}

} // namespace almondline::entry
