/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.LinkedListMultimap;
import com.google.common.collect.ListMultimap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.larkkeel.http.Problem;
import org.larkkeel.http.upstream.ConnectProbe;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.EndProbe;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.IncarnationCheck;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.UpstreamPath;
import org.xnio.XnioIoThread;

/**
 * Executes the effects of the relay router: sends and cancels attempts, and answers callers.
 *
 * <p>Confined to the I/O thread.
 *
 * @since 0.1
 */
public final class RelayExecutor implements Consumer<RelayEffect> {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The time by which the timeout of an answer exceeds the time left that the upstream is told. */
  private static final long ANSWER_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;

  /** The timeout for copying the memory of a run to another upstream. */
  private static final long MOVE_TIMEOUT_NANOS = 900 * NANOS_PER_MILLI;

  private static final long FREE_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;

  /** The timeout for a tunnel, including the time for peers that offer none. */
  private static final Duration TUNNEL_PROBE_TIMEOUT = Duration.ofMillis(1_100);

  /** The timeout for a tunnel that is probed while a caller waits for the end of an answer. */
  private static final Duration END_PROBE_TIMEOUT = Duration.ofMillis(300);

  private static final int MAX_FREE_ANSWER_BYTES = 64 << 10;

  private final RelayLoop loop;
  private final RelayDialect dialect;
  private final UpstreamClient client;
  private final ControlSender control;
  private final IncarnationReader incarnations;
  private final ConnectProbe probe;
  private final EndProbe endProbe;
  private final NoticeReader notices;
  private final XnioIoThread thread;
  private final RelayClientSettings settings;
  private final Consumer<RelayFact> facts;
  private final Map<RequestId, RelayRequest> requests = new HashMap<>();
  private final Map<AttemptId, RelayAttempt> attempts = new HashMap<>();
  private Consumer<RelayEffect.ReservationAnswer> answerSender = e -> {};
  private Consumer<RelayEffect.ReportSuspects> suspectReporter = e -> {};
  private Consumer<RelayEffect.StoreSuspects> suspectStore = e -> {};
  private Consumer<RelayEffect.OfStream> streamSharing = e -> {};
  private Consumer<RelayEffect.OfBuilds> buildHistory = e -> {};
  private LongConsumer stateReader = n -> {};
  private LongConsumer upstreamsReader = n -> {};

  /**
   * Creates an executor.
   *
   * @param loop receives the resulting events
   * @param dialect the protocol of callers and upstreams
   * @param client sends requests to upstreams
   * @param thread the I/O thread of the loop
   * @param settings the limits of requests to upstreams
   * @param facts receives the facts to be logged and counted
   */
  public RelayExecutor(
      RelayLoop loop,
      RelayDialect dialect,
      UpstreamClient client,
      XnioIoThread thread,
      RelayClientSettings settings,
      Consumer<RelayFact> facts) {
    this.loop = loop;
    this.dialect = dialect;
    this.client = client;
    this.notices = new NoticeReader(loop, dialect);
    this.control = new ControlSender(client, dialect, notices);
    this.incarnations = new IncarnationReader(control, dialect, loop);
    this.probe = new ConnectProbe(thread);
    this.endProbe = new EndProbe(thread);
    this.thread = thread;
    this.settings = settings;
    this.facts = facts;
  }

  /**
   * Sets the consumers that send reports to other nodes. Must be called before the first event.
   *
   * @param answers sends an answer to a reservation request of another node
   * @param suspects reports a suspect request
   * @param streams records or finds the build of a stream
   */
  public void setPeerReporters(
      Consumer<RelayEffect.ReservationAnswer> answers,
      Consumer<RelayEffect.ReportSuspects> suspects,
      Consumer<RelayEffect.OfStream> streams) {
    answerSender = answers;
    suspectReporter = suspects;
    streamSharing = streams;
  }

  /** Sets the consumer that stores suspects. Must be called before the first event. */
  public void setSuspectStore(Consumer<RelayEffect.StoreSuspects> suspects) {
    suspectStore = suspects;
  }

  /**
   * Sets the consumers that read from the store again, for the number of a request. Must be called
   * before the first event.
   *
   * @param state reads the configuration and the upstreams
   * @param upstreams reads the upstreams
   */
  public void setStateReaders(LongConsumer state, LongConsumer upstreams) {
    stateReader = state;
    upstreamsReader = upstreams;
  }

  /**
   * Sets the consumer that keeps the history of builds in the store. Must be called before the
   * first event.
   */
  public void setBuildHistory(Consumer<RelayEffect.OfBuilds> history) {
    buildHistory = history;
  }

  /** Adds a request. Must be called before its arrival is submitted. */
  void add(RelayRequest request) {
    requests.put(request.call.id(), request);
  }

  /** Removes the request of a caller that has disconnected, and submits the departure. */
  void callerGone(RequestId id) {
    if (requests.remove(id) != null) {
      loop.submit(new RelayEvent.CallerLeft(loop.now(), id));
      if (!loop.isClosed()) {
        thread.execute(() -> removeAttempts(id));
      }
    }
  }

  @Override
  public void accept(RelayEffect effect) {
    switch (effect) {
      case RelayEffect.Send e -> send(e);
      case RelayEffect.Cancel e -> cancel(e.attempt());
      case RelayEffect.Move e -> move(e);
      case RelayEffect.Free e -> free(e.source(), e.handle());
      case RelayEffect.ForwardStream e -> startForwarding(e);
      case RelayEffect.Deliver e -> deliver(e);
      case RelayEffect.Refuse e -> refuse(e);
      case RelayEffect.Cut e -> dropCaller(e);
      case RelayEffect.ReservationAnswer e -> answerSender.accept(e);
      case RelayEffect.Probe e -> probe(e);
      case RelayEffect.ReportSuspects e -> suspectReporter.accept(e);
      case RelayEffect.StoreSuspects e -> suspectStore.accept(e);
      case RelayEffect.OfStream e -> streamSharing.accept(e);
      case RelayEffect.OfBuilds e -> buildHistory.accept(e);
      case RelayEffect.ConfirmState e -> stateReader.accept(e.number());
      case RelayEffect.ConfirmUpstreams e -> upstreamsReader.accept(e.number());
      case RelayEffect.Report e -> facts.accept(e.fact());
    }
  }

  /**
   * Aborts all attempts and drops all callers when the node ends. Upstreams see a reset and stop
   * runs whose node has ended; callers see that their answers are incomplete. Must be called on the
   * I/O thread, which executes the aborts afterwards, and after the loop was closed, so that
   * nothing is sent again.
   */
  public void abandonAll() {
    ImmutableList.copyOf(attempts.keySet()).forEach(this::cancel);
    requests.values().forEach(r -> r.channel.drop());
    requests.clear();
  }

  private void send(RelayEffect.Send e) {
    RelayRequest request = requests.get(e.call());
    if (request == null) {
      return;
    }
    RelayAttempt attempt =
        new RelayAttempt(
            loop,
            dialect,
            notices,
            e,
            request,
            settings.maxAnswerBytes(),
            this::limitAnswerMemory,
            done -> probeEnd(e, done),
            facts);
    attempts.put(e.attempt(), attempt);
    if (e.check() == IncarnationCheck.NONE) {
      write(e, request, attempt);
    } else {
      checkAndWrite(e, request, attempt);
    }
  }

  /**
   * Gives up the largest answers that are being read while all of them take more memory than they
   * may, so that small ones are not affected.
   */
  private void limitAnswerMemory() {
    long total = attempts.values().stream().mapToLong(RelayAttempt::heldBytes).sum();
    while (total > settings.maxAnswersBytes()) {
      RelayAttempt largest =
          Collections.max(attempts.values(), Comparator.comparingInt(RelayAttempt::heldBytes));
      total -= largest.heldBytes();
      largest.giveUp();
    }
  }

  /** Sends a request to an upstream once that has told its incarnation. */
  private void checkAndWrite(RelayEffect.Send e, RelayRequest request, RelayAttempt attempt) {
    final long askedAt = loop.now();
    incarnations.read(
        e.upstream(),
        destination(e.upstream(), e.path()),
        reading -> {
          if (attempt.hasEnded()) {
            return;
          }
          facts.accept(
              new RelayFact.IncarnationChecked(
                  request.call.wireId(),
                  e.attempt(),
                  e.upstream().incarnation(),
                  e.check(),
                  reading.answer(),
                  loop.now() - askedAt));
          refusal(e.check(), reading)
              .ifPresentOrElse(attempt::refuse, () -> write(e, request, attempt));
        });
  }

  /** Returns why a request is not sent after the answer of its upstream; empty if it is. */
  private static Optional<RefusalCause> refusal(
      IncarnationCheck check, IncarnationReader.Reading reading) {
    return switch (reading.answer()) {
      case CONFIRMED -> Optional.empty();
      case NOT_TOLD ->
          check == IncarnationCheck.REQUIRE
              ? Optional.of(RefusalCause.NOT_CONFIRMED)
              : Optional.empty();
      case OTHER -> Optional.of(RefusalCause.WRONG_UPSTREAM);
      case NONE -> reading.failure();
    };
  }

  private void write(RelayEffect.Send e, RelayRequest request, RelayAttempt attempt) {
    long leftNanos = Math.max(NANOS_PER_MILLI, e.deadline() - loop.now());
    ResponseTimeout timeout =
        e.idleTimeoutNanos() > 0
            ? ResponseTimeout.idle(e.idleTimeoutNanos())
            : ResponseTimeout.total(leftNanos + ANSWER_MARGIN_NANOS);
    UpstreamRequest wire =
        new UpstreamRequest(
            request.method,
            request.target,
            headers(request, e, leftNanos),
            request.body,
            attempt::markSentIfAllowed);
    attempt.inFlight(
        client.send(
            destination(e.upstream(), e.path()),
            wire,
            timeout,
            new ConnectionUse.Attempt(request.carriedBy),
            attempt));
    thread.executeAfter(attempt::abortIfNotSent, settings.connectMillis(), TimeUnit.MILLISECONDS);
  }

  private static Destination destination(RelayUpstream upstream, UpstreamPath path) {
    UpstreamAddress address = UpstreamAddress.parse(upstream.address());
    return switch (path) {
      case DIRECT -> new Destination.Direct(address);
      case TUNNEL -> new Destination.Tunnel(address, upstream.name());
    };
  }

  private ImmutableListMultimap<HttpString, String> headers(
      RelayRequest request, RelayEffect.Send e, long leftNanos) {
    ListMultimap<HttpString, String> headers = LinkedListMultimap.create(request.headers);
    OptionalLong resume = request.headSent ? request.lastEventId : OptionalLong.empty();
    dialect.prepare(
        headers,
        new SendMetadata(
            e.upstream(), e.purpose(), leftNanos / NANOS_PER_MILLI, resume, e.workspace()));
    return ImmutableListMultimap.copyOf(headers);
  }

  private void cancel(AttemptId id) {
    RelayAttempt attempt = attempts.remove(id);
    if (attempt != null) {
      facts.accept(attempt.cancelledFact());
      attempt.cancel();
    }
  }

  /**
   * Frees the handle of a prompt or copy. Sends nothing to an upstream that accepts no requests or
   * limits their rate; there the handle expires soon.
   */
  private void free(RelayUpstream source, String handle) {
    if (!loop.acceptsRequests(source.incarnation()) || loop.isRateLimited(source.incarnation())) {
      return;
    }
    final long sentAt = loop.now();
    UpstreamRequest wire =
        new UpstreamRequest(
            Methods.DELETE, dialect.freePath(handle), ImmutableListMultimap.of(), new byte[0]);
    client.send(
        destination(source, loop.path(source.incarnation())),
        wire,
        ResponseTimeout.total(FREE_TIMEOUT_NANOS),
        ConnectionUse.EXCLUSIVE,
        new ResponseCollector(
            MAX_FREE_ANSWER_BYTES,
            answer -> notices.read(source.incarnation(), sentAt, answer),
            failure -> {}));
  }

  private void move(RelayEffect.Move e) {
    RelayRequest request = requests.get(e.call());
    if (request == null) {
      submitMoved(e.attempt(), new MoveResult.Failed());
      return;
    }
    control.send(
        e.source(),
        destination(e.source(), loop.path(e.source().incarnation())),
        dialect.move(request.call.wireId(), e.destination(), e.step()),
        MOVE_TIMEOUT_NANOS,
        () -> true,
        answer -> submitMoved(e.attempt(), moveResult(answer)),
        failure -> submitMoved(e.attempt(), new MoveResult.Failed()));
  }

  private MoveResult moveResult(ResponseCollector.Response answer) {
    return switch (answer.status()) {
      case StatusCodes.OK ->
          dialect
              .readHandle(answer.body())
              .<MoveResult>map(MoveResult.Copied::new)
              .orElseGet(MoveResult.Failed::new);
      case StatusCodes.NOT_FOUND -> new MoveResult.NoRun();
      default -> new MoveResult.Failed();
    };
  }

  private void submitMoved(AttemptId attempt, MoveResult result) {
    loop.submit(new RelayEvent.Moved(loop.now(), attempt, result));
  }

  private void probe(RelayEffect.Probe e) {
    Consumer<ProbeResult> done =
        result ->
            loop.submit(
                new RelayEvent.Probed(loop.now(), e.upstream().incarnation(), e.path(), result));
    switch (destination(e.upstream(), e.path())) {
      case Destination.Direct d -> probe.start(d.address().address(), done);
      case Destination.Tunnel t -> client.probe(t, TUNNEL_PROBE_TIMEOUT, done);
    }
  }

  /**
   * Probes whether the upstream of an attempt still listens. A refused connection is confirmed
   * through another node, as the path of this node may be broken; without such a node it counts.
   * The node that carries a tunnel has probed before it marked the end.
   */
  private void probeEnd(RelayEffect.Send e, Consumer<ProbeResult> done) {
    switch (destination(e.upstream(), e.path())) {
      case Destination.Direct d -> {
        Destination.Tunnel tunnel = new Destination.Tunnel(d.address(), e.upstream().name());
        endProbe.start(
            d.address().address(),
            direct -> {
              if (direct == ProbeResult.REFUSES) {
                client.probe(
                    tunnel,
                    END_PROBE_TIMEOUT,
                    other -> done.accept(other == ProbeResult.LISTENS ? other : direct));
              } else {
                done.accept(direct);
              }
            });
      }
      case Destination.Tunnel t -> done.accept(ProbeResult.LISTENS);
    }
  }

  private void startForwarding(RelayEffect.ForwardStream e) {
    RelayAttempt attempt = attempts.get(e.attempt());
    if (attempt != null) {
      attempt.startForwarding();
    }
  }

  private void deliver(RelayEffect.Deliver e) {
    RelayAttempt attempt = attempts.remove(e.attempt());
    if (requests.remove(e.call()) != null && attempt != null) {
      attempt.deliver();
    }
    removeAttempts(e.call());
  }

  private void refuse(RelayEffect.Refuse e) {
    RelayRequest request = requests.remove(e.call());
    removeAttempts(e.call());
    if (request != null) {
      Problem problem =
          new Problem(e.kind(), e.detail(), request.call.wireId(), e.retryAfterMillis());
      request.channel.answer(dialect.refusal(problem));
    }
  }

  private void dropCaller(RelayEffect.Cut e) {
    RelayRequest request = requests.remove(e.call());
    removeAttempts(e.call());
    if (request != null) {
      request.channel.drop();
    }
  }

  private void removeAttempts(RequestId call) {
    attempts.values().removeIf(a -> a.request().call.id().equals(call));
  }
}
