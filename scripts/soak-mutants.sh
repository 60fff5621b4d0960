#!/usr/bin/env bash
# Mutation test of the fault soak: breaks one guarantee at a time in a copy of the sources, runs the soak with a few seeds,
# and expects the named check to report it. Arguments: names of the mutants to run; all of them by default.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-6} # each opening of the soak once
length=${LENGTH:-14s} # as long as the bound of a version and some more
workdir=$(mktemp -d)
trap 'rm -rf "$workdir"' EXIT

# name | check that must report it | files | sed script
mutants='
repeats-lost-outcomes|at most once:|internal/gateway/forwarder.go|s/f.trialOf != "" \|\| f.route.Repeat != catalog.Idempotent/f.trialOf != ""/
refuses-what-ran|true refusals:|internal/gateway/failure.go|s/^\tcase f.possibleRuns\(\) == 0:$/\tcase true:/
delivers-halves|whole answers:|internal/gateway/attempt.go|s/a.body, err = io.ReadAll\(io.LimitReader\(answer, maxBufferedBytes\)\)$/&; err = nil/
accepts-cut-events|streams:|internal/gateway/events.go|s/if len\(bytes.Trim\(data, lineBreaks\)\) == 0 \{/if true {/
resumes-from-the-start|streams:|internal/gateway/send.go|s/send.ResumeAfter = a.resumeAfter/send.ResumeAfter = ""/
loads-unread|verified weights:|internal/sidecar/staging.go|s/if err != nil \|\| weights.Sum\(raw\) != digest/& \&\& len(raw) == 0/
forgets-open-orders|verified weights:|internal/sidecar/order.go|s/return o != nil \&\& !o.report.differs\(report\)/return false/
trusts-old-keys|revoked keys:|internal/gateway/freshness.go|s/case !ages.operators.within\(l.revocation\) \|\| !ages.answer.within\(l.configuration\):/case false:/
ignores-draining|drained back ends:|internal/catalog/view.go|s/if endpoint.Draining \|\| /if /
ignores-evacuations|evacuated failure domains:|internal/catalog/view.go|s/ \|\| evacuated\[endpoint.FailureDomain\]//
keeps-first-configuration|configuration in force:|internal/follow/state.go|s/s.index != nil \&\& next.Version <= s.index.Configuration.Version/s.index != nil/
ignores-restores|configuration in force:|platform/store.go|s/return before > 0 \&\& after > 0 \&\& after != before/return false/
ignores-leaving|leaving back ends:|internal/placement/withdrawal.go|s/\(r.leaving \|\| now < r.heldOffUntil\)/(now < r.heldOffUntil)/
ignores-hold-offs|held off:|internal/placement/withdrawal.go|s/\(r.leaving \|\| now < r.heldOffUntil\)/(r.leaving)/
ignores-stated-rates|stated rates:|internal/admission/stated_rate.go|s/return s.perSecond, s.stated/return s.perSecond, false/
forgets-crashes|crashing prompts:|internal/quarantine/evidence.go|s/minCrashes = 3$/minCrashes = 3000/
reads-heads-without-end|memory:|internal/response/head.go|s/if len\(dst\)\+len\(part\) > limit \{/if false {/; s/if !kept.Resize\(.*\) \{/if false {/
takes-malformed-heads|whole answers:|internal/response/response.go|s/err = fields.checkFields\(line.version\)/_ = fields/
never-reads-for-delegates|configuration in force:|internal/follow/delegate.go|s/if err != nil \&\& !storeBackoff.due\(bootclock.Now\(\)\) \{/if err != nil {/
ends-silent-attempts|lost answers:|internal/gateway/stall_timer.go|s/s.timer = time.AfterFunc\(timeout, func\(\) \{/& a.cancel(errOvertaken);/
dies-of-sighup-while-it-drains|planned stops:|internal/telemetry/process.go|s/^\t\tcase <-ctx.Done\(\):$/&\n\t\t\tsignal.Reset(syscall.SIGHUP)/
cuts-at-sigterm|lost answers:|internal/graceful/server.go|s/^\ts.listener.finish\(ctx\)$/&; _ = s.server.Close()/
leaves-write-deadline-armed|lost answers:|internal/gateway/forwarder.go internal/gateway/caller_writer.go|s/.*extendDeadline\(\) \}\(\).*//; s/(callerReadTimeout =) 3 \* time.Second/\1 time.Second/
shortens-timeouts|lost answers:|internal/gateway/forwarder.go|s/^\ttimeout := defaultTimeout$/\ttimeout := time.Second; return timeout/
counts-the-bound-from-the-first-read|model versions:|internal/follow/rollout_recorder.go|s/earliest := -catalog.UnknownAge$/earliest := read.storeTime/; s/row.Revision == 0 \{/true {/
keeps-eight-versions|model versions:|internal/catalog/rollouts.go|s/(maxRollouts =) 64$/\1 8/; s/^\t\tr\[1\].RequestedAt, .*//
serves-unproven-loads|whole weights:|internal/sidecar/load_proof.go|s/case target.manifest != nil && matches\(.*/case true:/
passes-keys-on|unasked:|platform/headers.go|s/headerPriority, headerKey, headerDeadline/headerPriority, headerDeadline/
'

status=0
while IFS='|' read -r name check files sed_script; do
  [ -n "$name" ] || continue
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  copy="$workdir/$name"
  mkdir "$copy"
  tar cf - --exclude=.git --exclude=journal --exclude=target --exclude=bin . | tar xf - -C "$copy"
  for file in $files; do
    sed -i -E "$sed_script" "$copy/$file"
    if cmp -s "$file" "$copy/$file"; then
      echo "$name: the change does not fit $file any more"
      status=1
      continue 2
    fi
  done
  case $check in
  "lost answers:" | "planned stops:") tests=TestPlannedWorkWithFreshSeeds ;;
  "model versions:" | "whole weights:") tests=TestVersionsWithFreshSeeds ;;
  *) tests=TestFreshSeeds ;;
  esac
  output=$(cd "$copy" && go test ./systemtest/soak -run $tests -count=1 -parallel "${PARALLEL:-4}" -timeout 10m -args -seeds "$seeds" -first 1 -length "$length" 2>&1) || true
  matches=$(grep -c "$check" <<<"$output" || true)
  echo "$name: $matches reports of \"${check%:}\""
  if [ "$matches" -eq 0 ]; then
    status=1
    tail -5 <<<"$output"
  fi
  rm -rf "$copy"
done <<<"$mutants"
exit $status
