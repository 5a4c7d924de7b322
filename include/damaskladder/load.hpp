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
/// Requests follow a seeded Poisson schedule and are sent at their intended times regardless of how
/// many are outstanding. A latency is measured from the intended send time to the last byte of the
/// response, so it includes delays of the load tool itself; run_report::send_delay shows their
/// size.
///
/// A request counts as goodput if a complete response with status 2xx arrives within the timeout.
/// Demand and goodput of a second count the requests due in that second. Recovery is measured in
/// whole seconds: the first second from which goodput stays at 95% of demand or above until the
/// next cause starts or the run ends. The max-min share of a workspace is its weighted fair share
/// of the total goodput. A wrongful refusal is an attempt refused with the reason "rate" in a
/// stream marked within_rate.
///
/// Errors: read_experiment() reports each problem with file, line, section, key and what was
/// expected. Failed requests are counted by result_class and are not errors.
///
/// Limits: 5 million attempts and 20,000 outstanding requests in one run, one hour, and loopback
/// addresses unless the address_policy says otherwise. A request that is due while
/// max_outstanding others are outstanding is counted as withheld; a run with withheld requests is
/// not open-loop.

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
