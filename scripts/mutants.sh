#!/usr/bin/env bash
# Shows that the proof of each condition fails when its guard is removed from the code that serves.
#
# Each mutant replaces one piece of one file through a build overlay, so that the tree stays as it is, and then runs the
# named test, which must fail. Conditions whose tests remove the guard themselves are listed in docs/proofs.md.
# Property tests of a mutant leave failure files under testdata/rapid, which git ignores.
# Usage: scripts/mutants.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
wanted=" $* "
survivors=0

mutant() { # mutant NAME FILE FROM TO PACKAGE TEST: FROM is literal text that must occur in FILE.
	local name=$1 file=$2 package=$5 test=$6
	if [ "$wanted" != "  " ] && [ "${wanted#* "$name" }" = "$wanted" ]; then
		return
	fi
	if ! FROM=$3 TO=$4 perl -0pe 'BEGIN { $f = $ENV{FROM}; $t = $ENV{TO} } $n += s/\Q$f\E/$t/; END { exit($n ? 0 : 3) }' \
		"$file" >"$work/$name.go"; then
		echo "mutant $name: $file does not contain its guard; adapt the mutant"
		survivors=$((survivors + 1))
		return
	fi
	printf '{"Replace":{"%s":"%s"}}' "$PWD/$file" "$work/$name.go" >"$work/$name.json"
	if ! go vet -overlay "$work/$name.json" "$package" >"$work/$name.log" 2>&1; then
		echo "mutant $name does not build:"
		cat "$work/$name.log"
		survivors=$((survivors + 1))
		return
	fi
	if go test -overlay "$work/$name.json" -timeout 60s -run "^$test\$" "$package" >"$work/$name.log" 2>&1; then
		echo "mutant $name: SURVIVES $test"
		survivors=$((survivors + 1))
		return
	fi
	echo "mutant $name: caught by $test"
}

mutant c3-expiry pkg/afqueue/queue.go \
	'for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {' 'for len(q.byDeadline) > 0 && q.byDeadline[0].Deadline.IsZero() {' \
	./internal/afdispatch TestDeadline
mutant c4-fresh internal/afentry/key.go \
	'if !s.IsConfigFresh() {' 'if s.IsConfigFresh == nil {' \
	./internal/afentry TestResponseFormats
mutant c4-stream internal/afentry/key.go \
	'if !ok || k.IsWithdrawn {' 'if !ok {' \
	./internal/afentry TestWithdrawnKey
mutant c4-key internal/afentry/serve.go \
	'"Authorization": true, timeoutHeader' 'timeoutHeader' \
	./internal/afentry TestResponseFormats
mutant c6-truncated internal/afdispatch/event.go \
	'err = io.ErrUnexpectedEOF' 'err = io.EOF' \
	./internal/afdispatch TestEvents
mutant c6-broken internal/afentry/stream.go \
	'if refusal == nil {' 'if refusal != nil || e.isStarted {' \
	./internal/afentry TestBrokenStream
mutant c6-buffer internal/afentry/response.go \
	'part := b[:min(len(b), maxBufferedBytes-r.bufferedBytes)]' 'part := b' \
	./internal/afentry TestLargeEvents
mutant c7-handed pkg/afretry/attempt.go \
	'case a.StatusCode == 0 && !a.RequestWritten:' 'case a.StatusCode == 0:' \
	./pkg/afretry TestUnsafeCallIsNotRetried
mutant c7-broken pkg/afretry/attempt.go \
	'return idempotent && !relayed' 'return !relayed' \
	./internal/afdispatch TestNeverSentTwice
mutant c9-leaving internal/afdispatch/choice.go \
	'return e.drainingAt.IsZero() && e.runningCount' 'return e.runningCount' \
	./internal/afdispatch TestLeavingEndpoint
mutant c10-drain internal/afentry/server.go \
	'if s.countOpenWork() == 0 {' 'if s.countOpenWork() >= 0 {' \
	./internal/afentry TestDrain
mutant c11-older pkg/afconfig/delta.go \
	'o.Version > 0 && o.Version <= old.Version' 'o.Version < 0' \
	./pkg/afconfig TestLateChangeIgnored
mutant gateway-quiet pkg/aflease/lease.go \
	'max(l.recordSeenAt+l.timing.TTL, l.waitEndsAt()) + l.timing.QuietPeriod + l.timing.SafetyMargin' 'l.recordSeenAt' \
	./pkg/aflease TestSuccessorWaitsQuiet
mutant gateway-settled pkg/aflease/lease.go \
	'case l.HolderIsEarlierProcess() && l.record.IsQuietPeriodOver && l.ownPromiseEndsAt == 0:' 'case l.HolderIsEarlierProcess():' \
	./pkg/aflease TestRestartBeforeFirstUse
mutant gateway-era-wait pkg/aflease/lease.go \
	'if l.isRecordOfEarlierEra() || l.promised' 'if l.promised' \
	./pkg/aflease TestNoTwoHoldersWhenStoreGoesBack
mutant gateway-era-epoch pkg/aflease/lease.go \
	'		return l.version
	}' '		return afversion.Era(l.version)<<40 + afversion.Revision(l.record.Epoch) + 1
	}' \
	./pkg/aflease TestEpochStaysUniqueAfterLateWrite
mutant gateway-era-watch pkg/afobject/era.go \
	'if k.basis == 0 || afversion.Era(k.basis) == era {' 'if k.basis >= 0 {' \
	./pkg/afobject TestWatchFromEarlierEraExpires
mutant gateway-start pkg/afstart/latest.go \
	'now.Sub(l.contestedAt) >= ContestTime' 'true' \
	./pkg/afstart TestLatestStartInAnyOrderOfFacts
mutant gateway-start-for-good pkg/afstart/latest.go \
	'|| l.IsContested(now) && now.Sub' '|| l.contestedAt.IsZero() && now.Sub' \
	./pkg/afstart TestLatestStartInAnyOrderOfFacts
mutant gateway-start-entry internal/afroster/roster.go \
	'if !r.recordStart(e) {' 'if !r.recordStart(e) && e.ID == "" {' \
	./internal/afroster TestEarlierStartChangesNothing
mutant gateway-promise-wait pkg/aflease/lease.go \
	'max(l.recordSeenAt+l.timing.TTL, l.waitEndsAt()) +' 'l.recordSeenAt + l.timing.TTL +' \
	./pkg/aflease TestSuccessorWaitsAfterPromise
mutant gateway-promise-all internal/afkeeper/promise.go \
	'if !ok {
			return 0
		}' 'if !ok {
			continue
		}' \
	./internal/afkeeper TestHolderGoesOnWithPromisesOfAll
mutant gateway-stop internal/afkeeper/lease.go \
	'now+time.Duration(max(0, m.SuccessorDelayMs))*time.Millisecond' 'now' \
	./internal/afkeeper TestStopTellsWhatItWaitedFor
mutant gateway-memory pkg/afassign/option.go \
 'if room >= 0 {' 'if room >= -p.EngineSpec.MemoryMB {' \
	./pkg/afassign TestNeverOvercommits
mutant gateway-answered pkg/afquarantine/decide.go \
	'!c.At.After(answeredAt)' '!c.At.After(answeredAt) && c.At.IsZero()' \
	./pkg/afquarantine TestOrdinaryCrashesQuarantineNothing
mutant gateway-spread internal/afcrash/message.go \
	'if m.Digest != s.State().Digest() {' 'if m.Digest == 1 {' \
	./internal/afcrash TestRestartedVMLearnsQuarantines
mutant gateway-slots pkg/afpace/pacer.go \
	'if r.IsSubstitute || age < startTime {' 'if r.IsSubstitute && age < 0 {' \
	./pkg/afpace TestSlotsStayWithinOneAndAHalfLimits
mutant gateway-deputy internal/afkeeper/deputy.go \
	'if err == nil && a.KeepsBucket {' 'if err == nil {' \
	./internal/afkeeper TestDeputyGivesForAFormerHolder
mutant gateway-deputies internal/afkeeper/deputy.go \
	'if !isHolderSilent && holder' 'if isHolderSilent && holder' \
	./internal/afkeeper TestDeputyAsksTheHolder
mutant gateway-limit internal/afkeeper/share.go \
	'Units: b.availableUnits - b.grantedUnits' 'Units: b.availableUnits + b.grantedUnits' \
	./internal/afkeeper TestLedgerKeepsTheLimit
mutant gateway-evacuation internal/afroster/notice.go \
	'if r.IsInEvacuatedCentre(e) {' 'if r.IsInEvacuatedCentre(e) && e.ID == "" {' \
	./internal/afroster TestEndpointsOfEvacuatedCentreDrain
mutant gateway-return internal/afcentre/service.go \
	'!isEvacuated && s.OnReturn != nil' 'isEvacuated && s.OnReturn != nil' \
	./internal/afcentre TestReturnIsAnnouncedBeforeEvacuationEnds
mutant gateway-cold internal/afslot/paced.go \
	'perSecond*share, decodeMillis' 'perSecond*max(share, 1), decodeMillis' \
	./internal/afslot TestColdEndpointStaysWithinBound
mutant gateway-schedule internal/afscheduler/service.go \
	'home != "" && home != s.Self {' 'home == "" && home != s.Self {' \
	./internal/afscheduler TestAllVMsShareOneSchedule
mutant gateway-twice internal/afgateway/attempt.go \
	'result.notRun && possibleRuns == 0 || p.route.IsRepeatable() && possibleRuns < p.route.MaxAttempts' 'possibleRuns < 3' \
	./platform TestUnsafeRunsOnce
mutant gateway-status promise.go \
	'isRepeatable || !promisesNotRun(status)' 'isRepeatable || status != 0' \
	./platform TestStatusPromisesOnlyWhatIsTrue
mutant gateway-withheld internal/afgateway/answer.go \
	'MayRelayStatus(ex.response.StatusCode, p.route.IsRepeatable())' 'MayRelayStatus(ex.response.StatusCode, true)' \
	./platform TestWithheldAnswerIsChargedCountedAndLogged
mutant gateway-race internal/afgateway/race.go \
	'effects.closed = r.racers' '_ = r.racers' \
	./internal/afgateway TestRaceInAnyOrder
mutant gateway-silent internal/afgateway/race.go \
	'racer.id != 0 && !racer.isHung' 'racer.id != 0 && !racer.isSilent' \
	./internal/afgateway 'TestRace$'
mutant gateway-order internal/afgateway/event.go \
	'if e.unreadBytes() == 0 {' 'if true {' \
	./platform TestBrokenStreamIsVisible
mutant gateway-key platform/header.go \
	'headerKey: true, headerTimeout' 'headerTimeout' \
	./platform TestForwardsUnchanged
mutant serve-configuration pkg/afconfig/delta.go \
	'if isLaterEra || s.isHolding' 'if s.isHolding' \
	./pkg/afconfig TestConfigurationNeverRevertsWhenStoreGoesBack
mutant serve-fence pkg/afplacement/era.go \
	'next.Fence = v.version' 'next.Fence += 0' \
	./pkg/afplacement TestProtocolWhenStoreGoesBack
mutant serve-lost-owner pkg/afplacement/view.go \
	'if !v.continuesLease(now) && v.lostOwnersMayAct(wait) {' 'if false {' \
	./pkg/afplacement TestProtocolWhenStoreGoesBack
mutant serve-unobserved pkg/afplacement/era.go \
	'next.Unobserved = append(next.Unobserved, name)' '_ = name' \
	./pkg/afplacement TestProtocolWhenStoreGoesBack

if [ "$survivors" -gt 0 ]; then
	echo "$survivors mutants were not caught"
	exit 1
fi
