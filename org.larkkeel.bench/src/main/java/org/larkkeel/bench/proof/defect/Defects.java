/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.proof.defect.Defect.Patch;

/**
 * The defects that the fault matrix must detect.
 *
 * <p>Each patch names a source file and a piece of its text that must occur there exactly once, so
 * a change of that text must change the patch too.
 *
 * @since 0.1
 */
final class Defects {
  private Defects() {}

  static ImmutableList<Defect> all() {
    return ImmutableList.<Defect>builder()
        .addAll(router())
        .addAll(platform())
        .addAll(peer())
        .build();
  }

  private static Patch inRouter(String type, String find, String replacement) {
    String file = "org.larkkeel/src/main/java/org/larkkeel/router/internal/" + type + ".java";
    return new Patch(file, find, replacement);
  }

  private static Patch inPlatform(String type, String find, String replacement) {
    String file = "org.larkkeel.store/src/main/java/org/larkkeel/store/" + type + ".java";
    return new Patch(file, find, replacement);
  }

  private static ImmutableList<Defect> router() {
    return ImmutableList.of(
        Defect.of(
            "missing cancel",
            inRouter("Holdings", "if (remains == Remains.MAYBE) {", "if (core == null) {")),
        Defect.of(
            "cancel not repeated",
            inRouter(
                "CancelTracker",
                "if (outcome == CancelOutcome.ACKNOWLEDGED || isExhausted(cancel)) {",
                "if (outcome != null) {")),
        Defect.of(
            "caller's leaving ignored",
            new Patch(
                "org.larkkeel/src/main/java/org/larkkeel/router/Router.java",
                "core.endings.callerGone(request);",
                "request.reachedUpstream |= false;")),
        Defect.of(
            "claimed run repeated after it may have run",
            inRouter("Failures", "return !request.mayHaveRun;", "return true;")),
        Defect.of(
            "run without a key repeated after bytes were sent",
            inRouter(
                "Failures",
                "return exposure == Exposure.NOT_SENT && !request.reachedUpstream;",
                "return true;")),
        Defect.of(
            "exposure of a failed attempt ignored",
            inRouter(
                "Failures",
                "request.mayHaveRun |= exposure == Exposure.MAY_HAVE_RUN;",
                "request.mayHaveRun |= false;")),
        Defect.of(
            "run sent without a claim",
            inRouter(
                "Arrivals",
                "if (request.atMostOnce && request.call.runKey().isPresent()) {",
                "if (core == null) {")),
        Defect.of(
            "recorded run run again",
            inRouter(
                "Claims",
                "case ALREADY_DONE -> core.endings.replay(request, attempt);",
                "case ALREADY_DONE -> core.queueing.enqueue(request);")),
        Defect.of(
            "unknown outcome run again",
            inRouter(
                "Claims",
                "case UNKNOWN ->\n          core.endings.refuse(\n"
                    + "              request, ErrorKind.UNKNOWN_OUTCOME, 0,"
                    + " \"An earlier run of this key broke off.\");",
                "case UNKNOWN -> core.queueing.enqueue(request);")),
        Defect.of(
            "\"not run\" said of what may have run",
            inRouter(
                "Endings",
                "return ran || unsettled ? ifMayHaveRun : ifNotRun;",
                "return ifNotRun;"),
            inRouter("Endings", "if (ran && request.claimed) {", "if (core(request)) {"),
            inRouter(
                "Endings",
                "  private static Effect lastEffect(",
                "  private static boolean core(RequestState request) {\n"
                    + "    return request == null;\n  }\n\n  private static Effect lastEffect(")),
        Defect.of(
            "claim given back though the run was sent",
            inRouter(
                "Endings",
                "notRun ? RunResult.NOT_RUN : RunResult.UNKNOWN",
                "notRun ? RunResult.NOT_RUN : RunResult.NOT_RUN")),
        Defect.of(
            "leaving upstream still gets new work",
            inRouter("UpstreamState", " && !config.isLeaving()", "")),
        Defect.of(
            "slot never given back",
            inRouter(
                "UpstreamTable",
                "attempt.upstream.slots.release(context.now());",
                "attempt.upstream.slots.limit();")),
        Defect.of(
            "stream resumed one token too late",
            inRouter(
                "DecodeFlow",
                "attempt.resumeFrom = request.deliveredTokens;",
                "attempt.resumeFrom ="
                    + " request.deliveredTokens == 0 ? 0 : request.deliveredTokens + 1;")),
        Defect.of(
            "tokens passed on forgotten after a failure",
            inRouter(
                "Failures",
                "request.deliveredTokens = Math.max(request.deliveredTokens, tokens);",
                "request.deliveredTokens ="
                    + " Math.max(request.deliveredTokens, tokens) + (tokens > 0 ? 2 : 0);")),
        Defect.of(
            "stop refuses what is in progress",
            inRouter(
                "Arrivals",
                "    draining = true;",
                "    draining = true;\n    java.util.List.copyOf(core.requests.values())\n"
                    + "        .forEach(r -> core.endings.refuse("
                    + "r, ErrorKind.NOT_READY, 0, \"This node stops.\"));")),
        Defect.of(
            "limit of a workspace never given back",
            inRouter("Limiter", "      share.running--;", "      share.running += 0;")),
        Defect.of(
            "revision applied backwards",
            new Patch(
                "org.larkkeel/src/main/java/org/larkkeel/router/Router.java",
                "if (!configuration.revision().isAfter(revision)) {",
                "if (configuration.revision().equals(revision)) {"),
            inPlatform("log/LogFollower", "entry.number() == last + 1", "entry.number() > 0")));
  }

  private static ImmutableList<Defect> platform() {
    return ImmutableList.of(
        Defect.of(
            "lost answer taken for a failure",
            inPlatform(
                "log/AppendCommand",
                "        prior = PriorAttempt.UNRESOLVED;\n        retry(this::create);",
                "        result.complete(new NotAppended(f));")),
        Defect.of(
            "lost append taken for a success",
            inPlatform(
                "log/AppendCommand",
                "} else if (found.get().id().equals(entry.id())) {",
                "} else if (found.isPresent()) {")),
        Defect.of(
            "seal skipped at take-over",
            inPlatform(
                "log/LogWriter",
                "    seal(LogEntry.seal(last + 1, log.nextAppend()), PriorAttempt.NONE);",
                "    phase = Phase.OWNER;\n    opened.complete(null);")),
        Defect.of(
            "claim answered before it is durable",
            inPlatform(
                "run/RunShard",
                "      submission = submit(claim);",
                "      submission = submit(claim);\n"
                    + "      result.complete(new ClaimResult.Claimed(request.token()));")),
        Defect.of(
            "claim of a dead node taken over",
            inPlatform(
                "run/RunTable",
                "alive.test(token.claimant()) ? new ClaimResult.InProgress()"
                    + " : new ClaimResult.Unknown()",
                "alive.test(token.claimant()) ? new ClaimResult.InProgress()"
                    + " : new ClaimResult.Claimed(q.token())")),
        Defect.of(
            "deposed owner never takes its shard back",
            inPlatform(
                "run/RunLog",
                "scheduler.schedule(wait, this::updateOwnedShards);",
                "scheduler.schedule(wait, () -> {});")));
  }

  private static ImmutableList<Defect> peer() {
    String adapter = "org.larkkeel.daemon/src/main/java/org/larkkeel/daemon/PeerAdapter.java";
    return ImmutableList.of(
        Defect.of(
            "refuted death believed for good",
            new Patch(adapter, "if (dead.remove(origin)) {", "if (dead.isEmpty()) {")),
        Defect.of(
            "death of a node never noticed",
            new Patch(adapter, "if (dead.add(origin)) {", "if (dead.isEmpty()) {"),
            new Patch(adapter, "return replaced || dead.contains(origin);", "return false;")));
  }
}
