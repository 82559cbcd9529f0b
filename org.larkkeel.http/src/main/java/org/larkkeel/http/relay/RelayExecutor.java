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
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.larkkeel.http.Problem;
import org.larkkeel.http.upstream.AnswerTimeout;
import org.larkkeel.http.upstream.ConnectProbe;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.http.upstream.WholeAnswer;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.xnio.XnioIoThread;

/**
 * Carries out what the router wants: sends, gives up, and answers callers.
 *
 * <p>Used on the I/O thread only.
 *
 * @since 0.1
 */
public final class RelayExecutor implements Consumer<RelayEffect> {
  private static final long MILLI = 1_000_000L;

  /** How long the upstream's answer is waited for beyond the time that it was given. */
  private static final long MARGIN = 1_000 * MILLI;

  /** How long a copy may take. */
  private static final long MOVE_NANOS = 900 * MILLI;

  private static final long FREE_NANOS = 500 * MILLI;
  private static final int MAX_FREE_BYTES = 64 << 10;

  private final RelayLoop loop;
  private final RelayDialect dialect;
  private final UpstreamClient client;
  private final ControlSender control;
  private final ConnectProbe probe;
  private final NoticeReader notices;
  private final XnioIoThread thread;
  private final RelayClientSettings settings;
  private final Consumer<RelayFact> facts;
  private final Map<RequestId, RelayRequest> requests = new HashMap<>();
  private final Map<AttemptId, RelayAttempt> attempts = new HashMap<>();
  private Consumer<RelayEffect.GrantRoom> grants = e -> {};
  private Consumer<RelayEffect.TellSuspect> suspects = e -> {};

  /**
   * Sends by a client.
   *
   * @param loop gets what comes back
   * @param dialect the words of callers and upstreams
   * @param client sends
   * @param thread the loop's
   * @param settings bounds
   * @param facts gets what is to be logged and counted
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
    this.probe = new ConnectProbe(thread);
    this.thread = thread;
    this.settings = settings;
    this.facts = facts;
  }

  /**
   * Sets who tells other nodes; before the first event.
   *
   * @param room tells of the room that they are given
   * @param found tells of requests under which upstreams ended
   */
  public void tells(Consumer<RelayEffect.GrantRoom> room, Consumer<RelayEffect.TellSuspect> found) {
    grants = room;
    suspects = found;
  }

  /** Takes a request in; before its arrival is submitted. */
  void add(RelayRequest request) {
    requests.put(request.call.id(), request);
  }

  /** The caller of a request is gone. */
  void gone(RequestId id) {
    if (requests.remove(id) != null) {
      loop.submit(new RelayEvent.CallerLeft(loop.now(), id));
      if (!loop.isClosed()) {
        thread.execute(() -> forgetAttempts(id));
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
      case RelayEffect.Follow e -> follow(e);
      case RelayEffect.Deliver e -> deliver(e);
      case RelayEffect.Refuse e -> refuse(e);
      case RelayEffect.Cut e -> cut(e);
      case RelayEffect.GrantRoom e -> grants.accept(e);
      case RelayEffect.Probe e -> probe(e.upstream());
      case RelayEffect.TellSuspect e -> suspects.accept(e);
      case RelayEffect.Report e -> facts.accept(e.fact());
    }
  }

  /**
   * Gives up all that is under way, as the node ends: upstreams see a reset and do not go on for
   * callers whose node is no more, and callers see that what they have is not whole. On the I/O
   * thread, which carries out the ends after this; the loop must be closed before, so that nothing
   * is sent anew.
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
        new RelayAttempt(loop, dialect, notices, e, request, settings.maxAnswerBytes());
    attempts.put(e.attempt(), attempt);
    long left = Math.max(MILLI, e.until() - loop.now());
    AnswerTimeout timeout =
        e.silenceNanos() > 0
            ? AnswerTimeout.silence(e.silenceNanos())
            : AnswerTimeout.whole(left + MARGIN);
    UpstreamRequest wire =
        new UpstreamRequest(
            request.method,
            request.target,
            headers(request, e, left),
            request.body,
            attempt::mayBeSent);
    attempt.inFlight(
        client.send(
            UpstreamAddress.parse(e.upstream().address()),
            wire,
            timeout,
            ConnectionUse.REQUEST,
            attempt));
    thread.executeAfter(attempt::connectTimedOut, settings.connectMillis(), TimeUnit.MILLISECONDS);
  }

  private ImmutableListMultimap<HttpString, String> headers(
      RelayRequest request, RelayEffect.Send e, long left) {
    ListMultimap<HttpString, String> headers = LinkedListMultimap.create(request.headers);
    OptionalLong resume = request.headSent ? request.lastEvent : OptionalLong.empty();
    dialect.prepare(
        headers, new SendFacts(e.upstream(), e.purpose(), left / MILLI, resume, e.workspace()));
    return ImmutableListMultimap.copyOf(headers);
  }

  private void cancel(AttemptId id) {
    RelayAttempt attempt = attempts.remove(id);
    if (attempt != null) {
      facts.accept(attempt.cancelled());
      attempt.cancel();
    }
  }

  /** Frees a prompt or copy, unless its upstream is to be left alone: it lapses by itself soon. */
  private void free(RelayUpstream source, String handle) {
    if (!loop.mayReach(source.life()) || loop.isRateLimited(source.life())) {
      return;
    }
    final long sentAt = loop.now();
    UpstreamRequest wire =
        new UpstreamRequest(
            Methods.DELETE, dialect.freePath(handle), ImmutableListMultimap.of(), new byte[0]);
    client.send(
        UpstreamAddress.parse(source.address()),
        wire,
        AnswerTimeout.whole(FREE_NANOS),
        ConnectionUse.CONTROL,
        new WholeAnswer(
            MAX_FREE_BYTES, answer -> notices.read(source.life(), sentAt, answer), failure -> {}));
  }

  private void move(RelayEffect.Move e) {
    RelayRequest request = requests.get(e.call());
    if (request == null) {
      moved(e.attempt(), new MoveResult.Failed());
      return;
    }
    control.send(
        e.source(),
        dialect.move(request.call.wireId(), e.destination(), e.step()),
        MOVE_NANOS,
        () -> true,
        answer -> moved(e.attempt(), result(answer)),
        failure -> moved(e.attempt(), new MoveResult.Failed()));
  }

  private MoveResult result(WholeAnswer.Answer answer) {
    return switch (answer.status()) {
      case StatusCodes.OK ->
          dialect
              .promptHandle(answer.body())
              .<MoveResult>map(MoveResult.Copied::new)
              .orElseGet(MoveResult.Failed::new);
      case StatusCodes.NOT_FOUND -> new MoveResult.NoRun();
      default -> new MoveResult.Failed();
    };
  }

  private void moved(AttemptId attempt, MoveResult result) {
    loop.submit(new RelayEvent.Moved(loop.now(), attempt, result));
  }

  private void probe(RelayUpstream upstream) {
    probe.start(
        UpstreamAddress.parse(upstream.address()).address(),
        result -> loop.submit(new RelayEvent.Probed(loop.now(), upstream.life(), result)));
  }

  private void follow(RelayEffect.Follow e) {
    RelayAttempt attempt = attempts.get(e.attempt());
    if (attempt != null) {
      attempt.follow();
    }
  }

  private void deliver(RelayEffect.Deliver e) {
    RelayAttempt attempt = attempts.remove(e.attempt());
    if (requests.remove(e.call()) != null && attempt != null) {
      attempt.deliver();
    }
    forgetAttempts(e.call());
  }

  private void refuse(RelayEffect.Refuse e) {
    RelayRequest request = requests.remove(e.call());
    forgetAttempts(e.call());
    if (request != null) {
      Problem problem =
          new Problem(e.kind(), e.detail(), request.call.wireId(), e.retryAfterMillis());
      request.channel.answer(dialect.refusal(problem));
    }
  }

  private void cut(RelayEffect.Cut e) {
    RelayRequest request = requests.remove(e.call());
    forgetAttempts(e.call());
    if (request != null) {
      request.channel.drop();
    }
  }

  private void forgetAttempts(RequestId call) {
    attempts.values().removeIf(a -> a.request().call.id().equals(call));
  }
}
