/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableList;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.http.upstream.ConnectionPosition;
import org.larkkeel.http.upstream.InFlightRequest;
import org.larkkeel.http.upstream.ResponseFraming;
import org.larkkeel.http.upstream.ResponseHandler;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.AnswerEnd;
import org.larkkeel.relay.AnswerFraming;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.AttemptProgress;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.UpstreamPath;

/**
 * One attempt at an upstream: reads the answer and submits its progress and outcome to the router.
 *
 * <p>Invariants: at most one outcome is submitted. While a stream runs, only complete events are
 * forwarded to the caller. Confined to the I/O thread.
 */
final class RelayAttempt implements ResponseHandler {
  private static final int MAX_EVENT_BYTES = 1 << 20;

  /** The size of a body from which the total size of all answers is checked. */
  private static final int LARGE_BODY_BYTES = 128 << 10;

  private static final String EVENT_STREAM = "text/event-stream";

  private final RelayLoop loop;
  private final RelayDialect dialect;
  private final NoticeReader notices;
  private final AttemptId id;
  private final UpstreamIncarnation upstream;
  private final RelayRequest request;
  private final Purpose purpose;
  private final UpstreamPath path;
  private final int maxAnswerBytes;
  private final Runnable onLargeBody;
  private final Consumer<Consumer<ProbeResult>> upstreamProbe;
  private final Consumer<RelayFact> facts;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Deque<EventSplitter.StreamEvent> pendingEvents = new ArrayDeque<>();
  private final OptionalLong resumedAfter;
  private final long placedAt;
  private Optional<EventSplitter> splitter = Optional.empty();
  private Optional<InFlightRequest> inFlight = Optional.empty();
  private AnswerVerdict verdict = AnswerVerdict.UNUSABLE;
  private RecordedAnswer head = new RecordedAnswer(0, ImmutableList.of(), new byte[0]);
  private AnswerFraming framing = AnswerFraming.CONNECTION;
  private long bodyBytes;
  private int eventsInLastPart;
  private ConnectionPosition position = ConnectionPosition.NONE;
  private boolean sent;
  private long sentAt;
  private boolean hasEvent;
  private boolean hasNewEvent;
  private boolean forwarding;
  private boolean ended;
  private byte[] remainder = new byte[0];

  RelayAttempt(
      RelayLoop loop,
      RelayDialect dialect,
      NoticeReader notices,
      RelayEffect.Send send,
      RelayRequest request,
      int maxAnswerBytes,
      Runnable onLargeBody,
      Consumer<Consumer<ProbeResult>> upstreamProbe,
      Consumer<RelayFact> facts) {
    this.loop = loop;
    this.dialect = dialect;
    this.notices = notices;
    this.id = send.attempt();
    this.upstream = send.upstream().incarnation();
    this.request = request;
    this.purpose = send.purpose();
    this.path = send.path();
    this.maxAnswerBytes = maxAnswerBytes;
    this.onLargeBody = onLargeBody;
    this.upstreamProbe = upstreamProbe;
    this.facts = facts;
    this.resumedAfter = request.lastEventId;
    this.placedAt = loop.now();
  }

  RelayRequest request() {
    return request;
  }

  void inFlight(InFlightRequest started) {
    inFlight = Optional.of(started);
    if (ended) {
      started.abort();
    }
  }

  /**
   * Called right before the request is written; records the time and returns whether it may be
   * sent.
   */
  boolean markSentIfAllowed() {
    sent = !ended && loop.acceptsRequests(upstream);
    sentAt = loop.now();
    return sent;
  }

  /** Aborts the attempt if the request has not been written yet. */
  void abortIfNotSent() {
    if (!sent && !ended) {
      inFlight.ifPresent(InFlightRequest::abort);
    }
  }

  /** Returns whether the attempt was cancelled or its outcome was submitted. */
  boolean hasEnded() {
    return ended;
  }

  /** Aborts the attempt without submitting an outcome. */
  void cancel() {
    ended = true;
    inFlight.ifPresent(InFlightRequest::abort);
  }

  /** Returns the fact to report when this attempt is cancelled: its progress and age. */
  RelayFact.Cancelled cancelledFact() {
    AttemptProgress beforeAnswer = sent ? AttemptProgress.SENT : AttemptProgress.NOT_SENT;
    AttemptProgress progress = head.status() > 0 ? AttemptProgress.ANSWERING : beforeAnswer;
    return new RelayFact.Cancelled(request.call.wireId(), id, progress, loop.now() - placedAt);
  }

  @Override
  public void onSending(ConnectionPosition on) {
    position = on;
  }

  @Override
  public boolean onHeaders(int status, HeaderMap headers) {
    verdict = dialect.verdict(request.call.wireId(), purpose, status, headers);
    if (verdict != AnswerVerdict.GOOD) {
      facts.accept(answerHead(status, headers));
    }
    boolean isOwn = verdict != AnswerVerdict.UNUSABLE;
    notices.read(upstream, sentAt, status, headers::get, isOwn);
    ImmutableList.Builder<RecordedAnswer.Header> list = ImmutableList.builder();
    RelayRequest.endToEnd(headers, false)
        .forEach((name, value) -> list.add(new RecordedAnswer.Header(name.toString(), value)));
    head = new RecordedAnswer(status, list.build(), new byte[0]);
    framing =
        ResponseFraming.of(request.method, status, headers::get).orElse(AnswerFraming.CONNECTION);
    String type = headers.getFirst("Content-Type");
    boolean stream = type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    if (verdict == AnswerVerdict.GOOD && stream && !(purpose instanceof Purpose.ReadPrompt)) {
      splitter = Optional.of(new EventSplitter(MAX_EVENT_BYTES));
    }
    return isOwn;
  }

  private RelayFact.AnswerHead answerHead(int status, HeaderMap headers) {
    return new RelayFact.AnswerHead(
        request.call.wireId(),
        id,
        upstream.name(),
        status,
        dialect.echo(request.call.wireId(), headers),
        position.localPort(),
        position.requestNumber(),
        position.idleNanos(),
        loop.now() - sentAt);
  }

  @Override
  public boolean onBody(ByteBuffer bytes) {
    if (ended || verdict == AnswerVerdict.UNUSABLE) {
      return false;
    }
    bodyBytes += bytes.remaining();
    if (splitter.isPresent()) {
      return onEvents(splitter.get(), bytes);
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    body.writeBytes(copy);
    if (body.size() > maxAnswerBytes) {
      return false;
    }
    if (body.size() > LARGE_BODY_BYTES) {
      onLargeBody.run();
    }
    return !ended;
  }

  @Override
  public int itemsInLastPart() {
    return eventsInLastPart;
  }

  /** Returns the size of the body that is held in memory. */
  int heldBytes() {
    return body.size();
  }

  /** Ends the attempt as lost, and frees the memory of its answer. */
  void giveUp() {
    ended = true;
    body = new ByteArrayOutputStream();
    inFlight.ifPresent(InFlightRequest::abort);
    loop.submit(new RelayEvent.Lost(loop.now(), id, FailureCause.BAD_ANSWER));
  }

  private boolean onEvents(EventSplitter events, ByteBuffer bytes) {
    eventsInLastPart = 0;
    for (EventSplitter.StreamEvent e = events.next(bytes); e != null; e = events.next(bytes)) {
      eventsInLastPart++;
      hasEvent = true;
      if (isAlreadyForwarded(e)) {
        continue;
      }
      pendingEvents.add(e);
      if (!hasNewEvent) {
        hasNewEvent = true;
        loop.submit(new RelayEvent.Began(loop.now(), id));
      }
    }
    forwardPending();
    return !events.isTooLarge();
  }

  private boolean isAlreadyForwarded(EventSplitter.StreamEvent event) {
    return resumedAfter.isPresent()
        && event.id().isPresent()
        && event.id().getAsLong() <= resumedAfter.getAsLong();
  }

  /**
   * Starts to forward the stream to the caller, beginning with the first event not yet forwarded.
   */
  void startForwarding() {
    forwarding = true;
    if (!request.headSent) {
      request.headSent = true;
      request.channel.beginStream(head);
    }
    forwardPending();
  }

  private void forwardPending() {
    if (!forwarding || pendingEvents.isEmpty()) {
      return;
    }
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    pendingEvents.forEach(e -> joined.writeBytes(e.bytes()));
    request.channel.stream(joined.toByteArray());
    // Not before: another attempt skips the events up to the last one that was forwarded.
    for (EventSplitter.StreamEvent e : pendingEvents) {
      if (e.id().isPresent()) {
        request.lastEventId = e.id();
      }
    }
    int events = pendingEvents.size();
    pendingEvents.clear();
    loop.submit(new RelayEvent.Progressed(loop.now(), id, events));
  }

  /** Delivers the complete answer to the caller, or the remainder and end of the stream. */
  void deliver() {
    if (forwarding) {
      forwardPending();
      if (remainder.length > 0) {
        request.channel.stream(remainder);
      }
      request.channel.endStream();
    } else if (request.headSent) {
      // Another attempt has started the stream, and only its end was missing.
      request.channel.endStream();
    } else {
      byte[] bytes = body.toByteArray();
      request.channel.answer(new RecordedAnswer(head.status(), head.headers(), bytes));
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    splitter.ifPresent(s -> remainder = s.takeRemainder());
    if (framing != AnswerFraming.CONNECTION || !needsBody()) {
      complete();
    } else if (isTruncated()) {
      loseAnswer(AnswerEnd.PARTIAL_EVENT);
    } else {
      upstreamProbe.accept(this::onProbed);
    }
  }

  /** Returns whether the body matters; of some answers the head tells all. */
  private boolean needsBody() {
    return switch (verdict) {
      case GOOD, FAILED, REJECTED -> true;
      case NOT_RUN, WRONG_UPSTREAM, UNUSABLE -> false;
    };
  }

  private void onProbed(ProbeResult result) {
    if (ended) {
      return;
    }
    if (result == ProbeResult.REFUSES) {
      loseAnswer(AnswerEnd.UPSTREAM_ENDED);
    } else {
      reportEnd(AnswerEnd.COMPLETE);
      complete();
    }
  }

  private void loseAnswer(AnswerEnd end) {
    ended = true;
    reportEnd(end);
    loop.submit(new RelayEvent.Lost(loop.now(), id, FailureCause.CONNECTION_LOST));
  }

  private void complete() {
    ended = true;
    if (splitter.isPresent() && !hasNewEvent) {
      body.writeBytes(remainder);
    }
    loop.submit(outcome());
  }

  /**
   * Returns whether a stream that ends with its connection ended inside an event, or before the
   * first one. An upstream that crashes also closes the connection, and without chunks or a length
   * nothing else shows that the stream is truncated.
   */
  private boolean isTruncated() {
    return splitter.isPresent() && (hasPartialEvent(remainder) || !hasEvent);
  }

  private void reportEnd(AnswerEnd end) {
    facts.accept(
        new RelayFact.AnswerEnded(
            request.call.wireId(),
            id,
            upstream.name(),
            path,
            position.remote(),
            framing,
            bodyBytes,
            end,
            loop.now() - sentAt));
  }

  /**
   * Returns whether the bytes after the last complete event are more than the rest of its line end.
   */
  private static boolean hasPartialEvent(byte[] remainder) {
    for (byte b : remainder) {
      if (b != '\n' && b != '\r') {
        return true;
      }
    }
    return false;
  }

  private RelayEvent outcome() {
    long at = loop.now();
    return switch (verdict) {
      case GOOD -> goodOutcome(at);
      case FAILED -> failedOutcome(at, AnswerGrade.FAILED);
      case REJECTED -> failedOutcome(at, AnswerGrade.REJECTED);
      case NOT_RUN -> new RelayEvent.Refused(at, id, RefusalCause.DECLINED);
      case WRONG_UPSTREAM -> new RelayEvent.Refused(at, id, RefusalCause.WRONG_UPSTREAM);
      case UNUSABLE -> new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER);
    };
  }

  private RelayEvent goodOutcome(long at) {
    if (purpose instanceof Purpose.ReadPrompt) {
      return prefillOutcome(at);
    }
    // A stream that the caller has begun to receive goes on only with events.
    return request.headSent && splitter.isEmpty()
        ? new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER)
        : new RelayEvent.Answered(at, id, AnswerGrade.GOOD);
  }

  private RelayEvent prefillOutcome(long at) {
    return dialect
        .readHandle(body.toByteArray())
        .<RelayEvent>map(handle -> new RelayEvent.PromptRead(at, id, handle))
        .orElseGet(() -> new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER));
  }

  private RelayEvent failedOutcome(long at, AnswerGrade grade) {
    return purpose instanceof Purpose.ReadPrompt
        ? new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER)
        : new RelayEvent.Answered(at, id, grade);
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    if (ended) {
      return;
    }
    ended = true;
    body = new ByteArrayOutputStream();
    if (head.status() > 0 && failure.cause() == FailureCause.CONNECTION_LOST) {
      reportEnd(AnswerEnd.CONNECTION_LOST);
    }
    long at = loop.now();
    boolean declined = verdict == AnswerVerdict.NOT_RUN || verdict == AnswerVerdict.WRONG_UPSTREAM;
    if (failure.exposure() != Exposure.MAY_HAVE_RUN) {
      loop.submit(new RelayEvent.Refused(at, id, IncarnationReader.refusalCause(failure)));
    } else if (declined) {
      loop.submit(new RelayEvent.Refused(at, id, RefusalCause.DECLINED));
    } else {
      loop.submit(new RelayEvent.Lost(at, id, failure.cause()));
    }
  }

  /** Ends the attempt, whose request was not written. */
  void refuse(RefusalCause cause) {
    ended = true;
    loop.submit(new RelayEvent.Refused(loop.now(), id, cause));
  }
}
