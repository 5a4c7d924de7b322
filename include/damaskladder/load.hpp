#pragma once

/// \file
/// load: an open-loop load and experiment tool.
///
///     auto document = load::read_experiment(text, "surge.ini");
///     http::event_loop loop;
///     load::load_runner runner(loop, document.plan, keys,
///                              {wall_clock, random, [&] { loop.stop(); }});
///     runner.start();
///     loop.run();
///     load::write_text(std::cout, runner.report());
///
/// Requests follow a seeded Poisson schedule and are sent at their intended times whatever is
/// outstanding. A latency counts from the intended send time to the last byte of the answer, so a
/// delay of the load tool itself is in it; run_report::send_delay shows how large that part is.
///
/// A request is good if a complete answer with status 2xx came within the timeout. Demand and
/// goodput of a second count the requests due in that second. Recovery is measured in whole
/// seconds: the first second from which goodput stays at 95% of demand or above until the next
/// cause starts or the run ends. The max-min share of a workspace divides what was served in
/// total, by weight. A wrongful refusal is an attempt refused with the reason "rate" in a stream
/// marked within_rate.
///
/// Errors: read_experiment() reports each problem with file, line, section, key and what was
/// expected. Failures of requests are counted results (result_class), not errors.
///
/// Limits: 5 million attempts and 20,000 outstanding requests in one run, one hour, and loopback
/// addresses unless the address_policy says otherwise. A request due while max_outstanding others
/// wait is counted as withheld; a run with such requests was not open-loop.

#include "load/arrival_schedule.hpp"
#include "load/classify.hpp"
#include "load/experiment_reader.hpp"
#include "load/json_report.hpp"
#include "load/load_runner.hpp"
#include "load/max_min_share.hpp"
#include "load/recovery_time.hpp"
#include "load/run_report.hpp"
#include "load/run_statistics.hpp"
#include "load/svg_plot.hpp"
#include "load/text_report.hpp"
