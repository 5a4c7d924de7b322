#include "control/audit_line.hpp"
#include "control/audit_trail.hpp"
#include "control/audit_verifier.hpp"
#include "control/timestamp_text.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace damaskladder::control {
namespace {

audit_trail trail_of(std::size_t records, std::size_t kept)
{
    audit_trail trail(table_limits{kept, base::byte_count(1 << 20)});
    for (std::size_t i = 0; i < records; ++i) {
        audit_record record;
        record.who = base::operator_id(i % 2 == 0 ? "luz" : "vet");
        record.when = base::wall_time(std::chrono::seconds(100 + i));
        record.path = *settings::setting_path::parse(i < 4 ? "teams/a/policy" : "teams/b/limits");
        record.to = std::to_string(i);
        trail.append(record);
    }
    return trail;
}

std::vector<std::string> lines_of(const audit_trail& trail)
{
    std::vector<std::string> lines;
    for (const auto& record : trail.records()) {
        lines.push_back(to_line(record));
    }
    return lines;
}

std::optional<audit_fault> verify(const std::vector<std::string>& lines, const audit_trail& trail)
{
    audit_verifier verifier(trail.anchor());
    for (const auto& line : lines) {
        if (auto fault = verifier.verify_line(line)) {
            return fault;
        }
    }
    return verifier.finish(trail.head());
}

void replace_in(std::string& line, const std::string& old_text, const std::string& new_text)
{
    auto place = line.find(old_text);
    ASSERT_NE(place, std::string::npos);
    line.replace(place, old_text.size(), new_text);
}

/// Alters the record and gives it a matching hash.
void forge(std::string& line)
{
    auto record = *parse_audit_line(line);
    record.to = "forged";
    record.hash = hash_of(record);
    line = to_line(record);
}

struct tampering_case {
    const char* name;
    std::function<void(std::vector<std::string>&)> tamper;
    audit_fault fault;
};

class tampered_audit : public testing::TestWithParam<tampering_case> {};

// Verification must detect tampered audit files and name the record, also in a rotated trail
// (records 4 to 9 are kept of 9).
TEST_P(tampered_audit, names_the_record)
{
    auto trail = trail_of(9, 6);
    auto lines = lines_of(trail);
    ASSERT_EQ(verify(lines, trail), std::nullopt);
    GetParam().tamper(lines);
    EXPECT_EQ(verify(lines, trail), GetParam().fault);
}

using lines_type = std::vector<std::string>;

INSTANTIATE_TEST_SUITE_P(
    table, tampered_audit,
    testing::Values(
        tampering_case{"first_removed",
                       [](lines_type& lines) { lines.erase(lines.begin()); },
                       {audit_fault_kind::missing, audit_sequence(4)}},
        tampering_case{"middle_removed",
                       [](lines_type& lines) { lines.erase(lines.begin() + 2); },
                       {audit_fault_kind::missing, audit_sequence(6)}},
        tampering_case{"last_removed",
                       [](lines_type& lines) { lines.pop_back(); },
                       {audit_fault_kind::missing, audit_sequence(9)}},
        tampering_case{
            "value_altered",
            [](lines_type& lines) { replace_in(lines[1], "\"to\":\"4\"", "\"to\":\"5\""); },
            {audit_fault_kind::altered, audit_sequence(5)}},
        tampering_case{
            "author_altered",
            [](lines_type& lines) { replace_in(lines[5], "\"who\":\"luz\"", "\"who\":\"vet\""); },
            {audit_fault_kind::altered, audit_sequence(9)}},
        tampering_case{"first_forged",
                       [](lines_type& lines) { forge(lines[0]); },
                       {audit_fault_kind::altered, audit_sequence(4)}},
        tampering_case{"middle_forged",
                       [](lines_type& lines) { forge(lines[2]); },
                       {audit_fault_kind::altered, audit_sequence(6)}},
        tampering_case{"last_forged",
                       [](lines_type& lines) { forge(lines[5]); },
                       {audit_fault_kind::altered, audit_sequence(9)}},
        tampering_case{"swapped",
                       [](lines_type& lines) { std::swap(lines[1], lines[2]); },
                       {audit_fault_kind::missing, audit_sequence(5)}},
        tampering_case{"repeated",
                       [](lines_type& lines) { lines.insert(lines.begin() + 1, lines[0]); },
                       {audit_fault_kind::altered, audit_sequence(5)}},
        tampering_case{"cut_short",
                       [](lines_type& lines) { lines[3].resize(20); },
                       {audit_fault_kind::unreadable, audit_sequence(7)}},
        tampering_case{"not_an_object",
                       [](lines_type& lines) { lines[3] = "[1]"; },
                       {audit_fault_kind::unreadable, audit_sequence(7)}},
        tampering_case{"wrong_type",
                       [](lines_type& lines) { replace_in(lines[3], "\"seq\":7", "\"seq\":-7"); },
                       {audit_fault_kind::unreadable, audit_sequence(7)}},
        tampering_case{"wrong_date",
                       [](lines_type& lines) { replace_in(lines[3], "1970-01-01", "1970-02-30"); },
                       {audit_fault_kind::unreadable, audit_sequence(7)}}),
    [](const auto& test) { return test.param.name; });

struct text_case {
    const char* name;
    std::string text;
};

class audit_texts : public testing::TestWithParam<text_case> {};

// Guards against lines, and so hashes, that differ from those of earlier program versions: replicas
// of both would disagree, and stored trails would count as altered.
TEST_P(audit_texts, are_written_as_by_the_json_library)
{
    audit_record record;
    record.sequence = audit_sequence(12);
    record.who = base::operator_id("mara");
    record.when = base::wall_time(std::chrono::seconds(1'800'000'000));
    record.path = *settings::setting_path::parse("teams/a/policy");
    record.field = settings::field_name("revision");
    record.from = GetParam().text;
    record.to = "7";
    record.version = base::settings_version(3);
    record.change = base::change_id("c-1");
    record.proposal = proposal_id(4);
    record.note = GetParam().text;
    const nlohmann::json expected{{"seq", 12},
                                  {"who", "mara"},
                                  {"when", format_timestamp(record.when)},
                                  {"path", "teams/a/policy"},
                                  {"field", "revision"},
                                  {"from", GetParam().text},
                                  {"to", "7"},
                                  {"version", 3},
                                  {"change", "c-1"},
                                  {"proposal", 4},
                                  {"verdict", to_string(record.verdict)},
                                  {"note", GetParam().text},
                                  {"prev", to_hex(record.previous.value())},
                                  {"hash", to_hex(record.hash.value())}};
    EXPECT_EQ(to_line(record),
              expected.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

INSTANTIATE_TEST_SUITE_P(table, audit_texts,
                         testing::Values(text_case{"empty", ""}, text_case{"plain", "a b~\x7f"},
                                         text_case{"quotes", "say \"no\" \\ twice"},
                                         text_case{"control_characters", "a\nb\tc\x01"},
                                         text_case{"nul", std::string("a\0b", 3)},
                                         text_case{"utf8", "\xc8\x99i fiii \xf0\x9f\xaa\xb5"},
                                         text_case{"invalid_utf8", "a\xff\xc3"}),
                         [](const auto& tested) { return tested.param.name; });

struct query_case {
    const char* name;
    audit_query query;
    std::vector<std::uint64_t> found;
};

class audit_search : public testing::TestWithParam<query_case> {};

// A query must return exactly the matching records.
TEST_P(audit_search, finds_the_records)
{
    std::vector<std::uint64_t> found;
    auto trail = trail_of(8, 100);
    for (const auto& record : trail.find(GetParam().query)) {
        found.push_back(record.sequence.value());
    }
    EXPECT_EQ(found, GetParam().found);
}

audit_query query_of(const char* root, const char* who, std::int64_t from, std::int64_t until,
                     std::uint64_t after, std::size_t limit)
{
    audit_query query;
    query.root = settings::setting_path::parse(root).value_or(settings::setting_path());
    if (*who != '\0') {
        query.who = base::operator_id(who);
    }
    if (from != 0) {
        query.from = base::wall_time(std::chrono::seconds(from));
    }
    if (until != 0) {
        query.until = base::wall_time(std::chrono::seconds(until));
    }
    query.after = audit_sequence(after);
    query.limit = limit;
    return query;
}

INSTANTIATE_TEST_SUITE_P(
    table, audit_search,
    testing::Values(query_case{"all", query_of("", "", 0, 0, 0, 100), {1, 2, 3, 4, 5, 6, 7, 8}},
                    query_case{"path", query_of("teams/b", "", 0, 0, 0, 100), {5, 6, 7, 8}},
                    query_case{"author", query_of("", "vet", 0, 0, 0, 100), {2, 4, 6, 8}},
                    query_case{"time", query_of("", "", 102, 105, 0, 100), {3, 4, 5}},
                    query_case{"after", query_of("", "", 0, 0, 6, 100), {7, 8}},
                    query_case{"limit", query_of("teams/a", "luz", 0, 0, 0, 1), {1}}),
    [](const auto& test) { return test.param.name; });

// A note with quotes, line breaks or invalid UTF-8 must not make its line unreadable or its hash
// unstable.
TEST(audit_line, holds_reasons_of_any_bytes)
{
    audit_trail trail(table_limits{10, base::byte_count(1 << 20)});
    for (const auto* note : {"motivo: revisi\xC3\xB3n \"x\"", "\xFF\xFE", "line\nbreak"}) {
        audit_record record;
        record.note = note;
        trail.append(record);
    }
    EXPECT_EQ(trail.verify(), std::nullopt);
    for (const auto& line : lines_of(trail)) {
        EXPECT_EQ(line.find('\n'), std::string::npos);
    }
    EXPECT_EQ(parse_audit_line(lines_of(trail)[0])->note, "motivo: revisi\xC3\xB3n \"x\"");
}

} // namespace
} // namespace damaskladder::control
