/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.base.Joiner;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.relay.AnswerEnd;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Logs each fact as one line of key=value pairs.
 *
 * <p>Text from outside the process is truncated, and quotes and all characters but printable ASCII
 * are replaced, so that it can not forge another line or field. Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class RelayFactLog implements Consumer<RelayFact> {
  private static final Logger log = LoggerFactory.getLogger("relay");
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int MAX_TEXT_CHARS = 160;
  private static final Joiner COMMA = Joiner.on(',');

  @Override
  public void accept(RelayFact fact) {
    switch (fact) {
      case RelayFact.Admitted f ->
          log.info(
              "event=admitted call={} rule={} service={} workspace={} rank={} revision={}"
                  + " left_ms={} prompt={} most_output={} likely_output={} resumes={} stream={}",
              id(f.call()),
              f.rule(),
              f.service(),
              f.workspace(),
              f.rank(),
              f.revision(),
              f.leftMillis(),
              f.size().prompt(),
              f.size().maxOutput(),
              f.size().expectedOutput(),
              f.resumes(),
              id(f.resumedStream().map(StreamId::value).orElse("")));
      case RelayFact.ReservationMade f ->
          log.info(
              "event=room_taken call={} upstream={} need={} load={} memory={} nodes_heard={}"
                  + " waited_ms={}",
              id(f.call()),
              f.upstream(),
              f.units(),
              f.load(),
              f.memory(),
              f.nodes(),
              millis(f.waitedNanos()));
      case RelayFact.ReservationGranted f ->
          log.info(
              "event=room_given call={} node={} rank={} workspace={} upstream={} reader={} need={}"
                  + " load={} memory={} waited_ms={}",
              id(f.call()),
              f.node(),
              f.rank(),
              f.workspace(),
              f.upstream(),
              f.prefillUpstream(),
              f.units(),
              f.load(),
              f.memory(),
              millis(f.waitedNanos()));
      case RelayFact.Began f ->
          log.info(
              "event=began call={} attempt={} upstream={} build={} ms={}",
              id(f.call()),
              f.attempt(),
              f.upstream(),
              f.build(),
              millis(f.nanos()));
      case RelayFact.Waiting f ->
          log.info(
              "event=waiting call={} service={} rank={} need={} waiting={}",
              id(f.call()),
              f.service(),
              f.rank(),
              f.units(),
              f.waiting());
      case RelayFact.WaitContinued f ->
          log.info(
              "event=wait_continued call={} service={} need={} waited_ms={}",
              id(f.call()),
              f.service(),
              f.units(),
              millis(f.waitedNanos()));
      case RelayFact.EngineDedicated f ->
          log.info(
              "event=engine_dedicated call={} service={} rank={} upstream={} free={} dedicated={}",
              id(f.call()),
              f.service(),
              f.rank(),
              f.upstream(),
              f.free(),
              f.dedicated());
      case RelayFact.DedicationEnded f ->
          log.info(
              "event=dedication_ended call={} service={} upstream={} reason={} ms={}",
              id(f.call()),
              f.service(),
              f.upstream(),
              f.reason().name().toLowerCase(Locale.ROOT),
              millis(f.nanos()));
      case RelayFact.OverloadDecided f ->
          log.info(
              "event=overload_decided call={} service={} rank={} decision={} forecast_ms={}"
                  + " margin_ms={} retry_after_ms={}",
              id(f.call()),
              f.service(),
              f.rank(),
              f.decision().name().toLowerCase(Locale.ROOT),
              millis(f.forecastNanos()),
              millis(f.marginNanos()),
              f.retryAfterMillis());
      case RelayFact.ReturnPromise f ->
          log.info(
              "event=return_promise call={} service={} change={}",
              id(f.call()),
              f.service(),
              f.change().name().toLowerCase(Locale.ROOT));
      case RelayFact.Placed f ->
          log.info(
              "event=placed call={} attempt={} purpose={} upstream={} start={} build={}"
                  + " stream_build={} path={} cost={} runner_up={} runner_up_cost={} send={}"
                  + " candidates={}",
              id(f.call()),
              f.attempt(),
              f.purpose(),
              f.upstream().name(),
              f.upstream().incarnation(),
              f.build(),
              f.streamBuild().map(BuildName::toString).orElse(""),
              f.path(),
              round(f.cost()),
              f.runnerUp(),
              round(f.runnerUpCost()),
              f.attemptNumber(),
              f.candidates());
      case RelayFact.IncarnationChecked f ->
          log.info(
              "event=incarnation_checked call={} attempt={} upstream={} start={} check={} answer={}"
                  + " ms={}",
              id(f.call()),
              f.attempt(),
              f.upstream().name(),
              f.upstream().incarnation(),
              f.check(),
              f.answer(),
              millis(f.nanos()));
      case RelayFact.WriterUnknown f ->
          log.warn(
              "event=stream_writer_unknown call={} attempt={} upstream={} start={} restarted_ms={}"
                  + " begun_ms={} silent_ms={}",
              id(f.call()),
              f.attempt(),
              f.upstream().name(),
              f.upstream().incarnation(),
              millis(f.startedNanos()),
              millis(f.begunNanos()),
              millis(f.silentNanos()));
      case RelayFact.AttemptFailed f ->
          log.warn(
              "event=attempt_failed call={} attempt={} upstream={} cause={} may_have_run={}",
              id(f.call()),
              f.attempt(),
              f.upstream(),
              f.cause(),
              f.mayHaveRun());
      case RelayFact.AttemptBroken f ->
          log.warn(
              "event=attempt_broken call={} attempt={} upstream={} start={} request={} parts={}"
                  + " sends={} sent_ms={} begun_ms={} others={}",
              id(f.call()),
              f.attempt(),
              f.upstream().name(),
              f.upstream().incarnation(),
              f.request(),
              f.parts().isEmpty() ? "none" : COMMA.join(f.parts()),
              f.sends(),
              millis(f.sinceSentNanos()),
              f.sinceFirstEventNanos() < 0 ? "none" : millis(f.sinceFirstEventNanos()),
              f.otherAttempts());
      case RelayFact.Probed f ->
          log.info(
              "event=upstream_probed upstream={} start={} path={} result={}",
              f.upstream().name(),
              f.upstream().incarnation(),
              f.path(),
              f.result());
      case RelayFact.PathChanged f ->
          log.warn(
              "event=path_changed upstream={} service={} change={} cause={}",
              f.upstream(),
              f.service(),
              f.change().name().toLowerCase(Locale.ROOT),
              f.cause());
      case RelayFact.UpstreamEnded f ->
          log.warn(
              "event=upstream_ended upstream={} start={} proof={} requests={}",
              f.upstream().name(),
              f.upstream().incarnation(),
              f.proof(),
              f.requests());
      case RelayFact.Suspected f ->
          log.warn(
              "event=suspected {}={} ends={} left_ms={} source={}",
              f.scope().word(),
              f.suspect(),
              f.crashes(),
              millis(f.remainingNanos()),
              f.source());
      case RelayFact.Quarantined f ->
          log.warn(
              "event=quarantined call={} {}={} ends={} left_ms={}",
              id(f.call()),
              f.scope().word(),
              f.suspect(),
              f.crashes(),
              millis(f.remainingNanos()));
      case RelayFact.Cleared f ->
          log.info("event=cleared {}={} cause={}", f.scope().word(), f.suspect(), f.cause());
      case RelayFact.PromptRead f ->
          log.info(
              "event=prompt_read call={} attempt={} upstream={} ms={}",
              id(f.call()),
              f.attempt(),
              f.upstream(),
              millis(f.nanos()));
      case RelayFact.RunMoved f ->
          log.info(
              "event=run_moved call={} attempt={} from={} to={} step={} result={}",
              id(f.call()),
              f.attempt(),
              f.from(),
              f.to(),
              f.step(),
              f.result().getClass().getSimpleName());
      case RelayFact.PromptWasted f ->
          log.warn(
              "event=prompt_wasted call={} upstream={} tokens={}",
              id(f.call()),
              f.upstream(),
              f.tokens());
      case RelayFact.Answered f ->
          log.info(
              "event=answered call={} attempt={} upstream={} rule={} grade={} first_ms={} ms={}"
                  + " on_target={}",
              id(f.call()),
              f.attempt(),
              f.upstream(),
              f.rule(),
              f.grade(),
              millis(f.firstNanos()),
              millis(f.nanos()),
              f.onTarget());
      case RelayFact.Refused f ->
          log.warn(
              "event={} call={} rule={} kind={} detail=\"{}\" sends={} runs={} ms={}",
              f.streaming() ? "cut" : "refused",
              id(f.call()),
              f.rule(),
              f.kind().slug(),
              text(f.detail()),
              f.attempts(),
              f.runs(),
              millis(f.nanos()));
      case RelayFact.QuotaDecided f ->
          log.info(
              "event=quota call={} workspace={} revision={} tokens={} outcome={} left={} age_ms={}"
                  + " wait_ms={}",
              id(f.call()),
              f.workspace(),
              f.revision(),
              f.tokens(),
              f.outcome(),
              f.tokensLeft(),
              millis(f.ageNanos()),
              millis(f.waitNanos()));
      case RelayFact.QuotaRefusedEarly f ->
          log.info(
              "event=quota_refused_early workspace={} calls={} tokens={}",
              f.workspace(),
              f.calls(),
              f.tokens());
      case RelayFact.CallerLeft f ->
          log.info(
              "event=caller_left call={} rule={} ms={}", id(f.call()), f.rule(), millis(f.nanos()));
      case RelayFact.AnswerHead f ->
          log.info(
              "event=answer call={} attempt={} upstream={} status={} echo={} port={} request={}"
                  + " idle_ms={} sent_ms={}",
              id(f.call()),
              f.attempt(),
              f.upstream(),
              f.status(),
              f.echo(),
              f.localPort(),
              f.requestNumber(),
              millis(f.idleNanos()),
              millis(f.sentNanos()));
      case RelayFact.AnswerEnded f -> {
        Level level = f.end() == AnswerEnd.COMPLETE ? Level.INFO : Level.WARN;
        log.atLevel(level)
            .log(
                "event=answer_ended call={} attempt={} upstream={} path={} remote={} framing={}"
                    + " bytes={} end={} sent_ms={}",
                id(f.call()),
                f.attempt(),
                f.upstream(),
                f.path(),
                f.remote(),
                f.framing(),
                f.bytes(),
                f.end(),
                millis(f.sentNanos()));
      }
      case RelayFact.Cancelled f ->
          log.info(
              "event=attempt_cancelled call={} attempt={} progress={} ms={}",
              id(f.call()),
              f.attempt(),
              f.progress(),
              millis(f.nanos()));
      case RelayFact.CoordinatorSuspected f ->
          log.warn(
              "event=keeper_suspected peer={} cause={} waited_ms={} answer_ms={} limit_ms={}",
              f.coordinator(),
              f.cause(),
              millis(f.waitedNanos()),
              millis(f.answerNanos()),
              millis(f.limitNanos()));
      case RelayFact.CoordinatorAnswered f -> {}
      case RelayFact.BudgetSpent f ->
          log.warn(
              "event=budget_spent call={} service={} used={} allowed={} left={} nodes={}",
              id(f.call()),
              f.service(),
              f.used(),
              round(f.allowed()),
              round(f.left()),
              f.nodes());
      case RelayFact.BudgetUsed f -> {}
      case RelayFact.HeldCallsAdmitted f ->
          log.info(
              "event=held_calls_admitted calls={} longest_ms={}",
              f.calls(),
              millis(f.longestNanos()));
      case RelayFact.UpstreamChanged f ->
          log.info(
              "event=upstream_changed upstream={} start={} service={} address={} change={}",
              f.upstream().name(),
              f.upstream().incarnation(),
              f.service(),
              f.address(),
              f.change());
      case RelayFact.BackoffRequested f ->
          log.warn("event=rests upstream={} for_ms={}", f.upstream(), millis(f.forNanos()));
      case RelayFact.PermitAwaited f ->
          log.info(
              "event=permit_awaited call={} service={} longest_ms={}",
              id(f.call()),
              f.service(),
              millis(f.maxWaitNanos()));
      case RelayFact.RateLimit f ->
          log.warn(
              "event=rate_limit upstream={} start={} change={} before={} per_second={} source={}"
                  + " age_ms={}",
              f.upstream().name(),
              f.upstream().incarnation(),
              f.change(),
              rate(f.before()),
              rate(f.now()),
              f.source(),
              millis(f.ageNanos()));
      case RelayFact.SpeedSampleDropped f ->
          log.debug(
              "event=speed_sample_dropped upstream={} start={} kind={} ns={} load={} result={}",
              f.sample().upstream().name(),
              f.sample().upstream().incarnation(),
              f.sample().kind(),
              f.sample().nanosPerUnit(),
              f.sample().loadThousandths(),
              f.result());
      case RelayFact.SpeedsChanged f ->
          log.info(
              "event=speeds service={} kind={} used={} spread={} measured={}",
              f.service(),
              f.kind(),
              f.used(),
              round(f.spread()),
              f.measured());
      case RelayFact.SlowStartBegan f ->
          log.info(
              "event=slow_start upstream={} start={} service={}",
              f.upstream().name(),
              f.upstream().incarnation(),
              f.service());
      case RelayFact.Ejected f ->
          log.warn(
              "event=ejected upstream={} cause={} for_ms={}",
              f.upstream(),
              f.cause(),
              millis(f.forNanos()));
      case RelayFact.Restored f -> log.info("event=restored upstream={}", f.upstream());
      case RelayFact.Resumed f ->
          log.warn("event=resumed suspended_ms={}", millis(f.suspendedNanos()));
      case RelayFact.LoopStalled f -> log.warn("event=loop_stalled ms={}", millis(f.nanos()));
      case RelayFact.StreamResolved f ->
          log.info(
              "event=stream_resolved call={} stream={} source={} build={} witness={} list_age_ms={}"
                  + " own={} followed_ms={} peers={} answered={} ms={}",
              id(f.call()),
              id(f.stream()),
              f.source(),
              f.build(),
              f.witness(),
              f.listAgeNanos() < 0 ? "" : millis(f.listAgeNanos()),
              kind(f.own()),
              f.followedNanos() < 0 ? "" : millis(f.followedNanos()),
              f.peers().map(RelayFactLog::kind).orElse(""),
              f.answered(),
              millis(f.nanos()));
      case RelayFact.StateDoubted f -> log.warn("event=state_doubted cause={}", f.cause());
      case RelayFact.StateTrusted f ->
          log.info("event=state_trusted result={} after_ms={}", f.result(), millis(f.nanos()));
      case RelayFact.MessagesHeldLoop f ->
          log.warn(
              "event=loop_held by=messages messages={} ms={}", f.messages(), millis(f.nanos()));
      case RelayFact.InForce f ->
          log.info(
              "event=in_force revision={} before={} rules={}", f.revision(), f.before(), f.rules());
      case RelayFact.Stale f ->
          log.warn("event=stale_configuration revision={} in_force={}", f.revision(), f.inForce());
    }
  }

  private static String rate(Optional<RequestRate> rate) {
    return rate.map(RequestRate::toString).orElse("none");
  }

  private static long millis(long nanos) {
    return Math.round(nanos / NANOS_PER_MILLI);
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }

  /** Sanitizes a name from outside the process, so that it can not end its field. */
  static String id(String name) {
    return text(name).replace(' ', '?');
  }

  /** Sanitizes text from outside the process, so that it can not end its line or its quotes. */
  static String text(String text) {
    String cut = text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
    // Nearly all text is plain; a regular expression is slow until it has been JIT-compiled.
    for (int i = 0; i < cut.length(); i++) {
      if (!isPlain(cut.charAt(i))) {
        return cleaned(cut);
      }
    }
    return cut;
  }

  private static boolean isPlain(char c) {
    return c >= ' ' && c <= '~' && c != '"';
  }

  private static String cleaned(String text) {
    StringBuilder clean = new StringBuilder(text.length());
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      clean.append(isPlain(c) ? c : '?');
    }
    return clean.toString();
  }

  private static String kind(StreamLookup lookup) {
    return switch (lookup) {
      case StreamLookup.Known k -> "KNOWN";
      case StreamLookup.Sole l -> "SOLE";
      case StreamLookup.Listed l -> "LISTED";
      case StreamLookup.Unknown u -> "UNKNOWN";
    };
  }
}
