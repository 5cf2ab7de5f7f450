#!/usr/bin/env bash
# Prints a Markdown table with one row per fault from the output of measure.sh:
#   scripts/summarize-measurements.sh FILE
set -euo pipefail
awk '
function field(name,  i, pair) {
  for (i = 1; i <= NF; i++) {
    split($i, pair, "=")
    if (pair[1] == name) return pair[2]
  }
}
/^figure=/ {
  figure = field("figure"); fault = field("fault"); value = field("value")
  if (!(fault in seen)) { seen[fault] = 1; order[++faults] = fault }
  if (figure ~ /^write_gap_ms\./) {
    if (value + 0 > gap[fault] + 0) gap[fault] = value
  } else if (figure ~ /^rss_mb\./) {
    if (value + 0 > rss[fault] + 0) rss[fault] = value
  } else {
    values[fault, figure] = value
  }
}
END {
  count = split("replica_read_share worst_workspace_share wrongful_refusals " \
    "admitted_over_rate read_latency_ms_p50 read_latency_ms_p99 " \
    "write_latency_ms_p50 write_latency_ms_p99 unknown_outcomes " \
    "cut_requests lost_acknowledged doubled_acknowledged stale_own_reads " \
    "false_not_run crossed_answers", names, " ")
  printf "| fault | longest write gap ms | largest daemon MB |"
  for (i = 1; i <= count; i++) printf " %s |", names[i]
  printf "\n| --- | --- | --- |"
  for (i = 1; i <= count; i++) printf " --- |"
  printf "\n"
  for (f = 1; f <= faults; f++) {
    printf "| %s | %s | %s |", order[f], gap[order[f]], rss[order[f]]
    for (i = 1; i <= count; i++) printf " %s |", values[order[f], names[i]]
    printf "\n"
  }
}' "$1"
