/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableList;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.http.upstream.InFlight;
import org.larkkeel.http.upstream.ResponseHandler;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.AttemptProgress;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;

/**
 * One send to an upstream: reads the answer and tells the router what it is.
 *
 * <p>Invariants: the router hears of one end; of a stream only whole events are passed on, those of
 * the event before the last byte included. Used on the I/O thread only.
 */
final class RelayAttempt implements ResponseHandler {
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String CHUNKED = "chunked";

  private final RelayLoop loop;
  private final RelayDialect dialect;
  private final NoticeReader notices;
  private final AttemptId id;
  private final UpstreamLife upstream;
  private final RelayRequest request;
  private final Purpose purpose;
  private final int maxBytes;
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private final Deque<EventSplitter.Whole> waiting = new ArrayDeque<>();
  private final OptionalLong resumedAfter;
  private final long placedAt;
  private Optional<EventSplitter> splitter = Optional.empty();
  private Optional<InFlight> inFlight = Optional.empty();
  private AnswerVerdict verdict = AnswerVerdict.UNUSABLE;
  private RecordedAnswer head = new RecordedAnswer(0, ImmutableList.of(), new byte[0]);
  private boolean endsWithConnection;
  private boolean sent;
  private long sentAt;
  private boolean sawEvent;
  private boolean begun;
  private boolean followed;
  private boolean over;
  private byte[] rest = new byte[0];

  RelayAttempt(
      RelayLoop loop,
      RelayDialect dialect,
      NoticeReader notices,
      RelayEffect.Send send,
      RelayRequest request,
      int maxBytes) {
    this.loop = loop;
    this.dialect = dialect;
    this.notices = notices;
    this.id = send.attempt();
    this.upstream = send.upstream().life();
    this.request = request;
    this.purpose = send.purpose();
    this.maxBytes = maxBytes;
    this.resumedAfter = request.lastEvent;
    this.placedAt = loop.now();
  }

  RelayRequest request() {
    return request;
  }

  void inFlight(InFlight flying) {
    inFlight = Optional.of(flying);
    if (over) {
      flying.abort();
    }
  }

  /** Notes that the request is about to be written; says whether it still may be. */
  boolean mayBeSent() {
    sent = !over && loop.mayReach(upstream);
    sentAt = loop.now();
    return sent;
  }

  /** Gives up waiting for a connection. */
  void connectTimedOut() {
    if (!sent && !over) {
      inFlight.ifPresent(InFlight::abort);
    }
  }

  /** Ends it without a word to the router. */
  void cancel() {
    over = true;
    inFlight.ifPresent(InFlight::abort);
  }

  /** How far it has come, and for how long it has been under way. */
  RelayFact.Cancelled cancelled() {
    AttemptProgress sofar = sent ? AttemptProgress.SENT : AttemptProgress.NOT_SENT;
    AttemptProgress progress = head.status() > 0 ? AttemptProgress.ANSWERING : sofar;
    return new RelayFact.Cancelled(request.call.wireId(), id, progress, loop.now() - placedAt);
  }

  @Override
  public void onHeaders(int status, HeaderMap headers) {
    verdict = dialect.verdict(request.call.wireId(), purpose, status, headers);
    boolean isOwn = verdict != AnswerVerdict.UNUSABLE;
    notices.read(upstream, sentAt, status, headers::get, isOwn);
    ImmutableList.Builder<RecordedAnswer.Header> list = ImmutableList.builder();
    RelayRequest.endToEnd(headers, false)
        .forEach((name, value) -> list.add(new RecordedAnswer.Header(name.toString(), value)));
    head = new RecordedAnswer(status, list.build(), new byte[0]);
    String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
    boolean chunked = coding != null && coding.toLowerCase(Locale.ROOT).contains(CHUNKED);
    endsWithConnection = !chunked && !headers.contains(Headers.CONTENT_LENGTH);
    String type = headers.getFirst("Content-Type");
    boolean stream = type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    if (verdict == AnswerVerdict.GOOD && stream && !(purpose instanceof Purpose.ReadPrompt)) {
      splitter = Optional.of(new EventSplitter(MAX_EVENT_BYTES));
    }
  }

  @Override
  public boolean onBody(ByteBuffer bytes) {
    if (over || verdict == AnswerVerdict.UNUSABLE) {
      return false;
    }
    if (splitter.isPresent()) {
      return onEvents(splitter.get(), bytes);
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    whole.writeBytes(copy);
    return whole.size() <= maxBytes;
  }

  private boolean onEvents(EventSplitter events, ByteBuffer bytes) {
    for (EventSplitter.Whole e = events.next(bytes); e != null; e = events.next(bytes)) {
      sawEvent = true;
      if (isRepeated(e)) {
        continue;
      }
      waiting.add(e);
      if (!begun) {
        begun = true;
        loop.submit(new RelayEvent.Began(loop.now(), id));
      }
    }
    passOn();
    return !events.isTooLarge();
  }

  private boolean isRepeated(EventSplitter.Whole event) {
    return resumedAfter.isPresent()
        && event.id().isPresent()
        && event.id().getAsLong() <= resumedAfter.getAsLong();
  }

  /** Passes the stream on, from the first event that was not yet passed on. */
  void follow() {
    followed = true;
    if (!request.headSent) {
      request.headSent = true;
      request.channel.beginStream(head);
    }
    passOn();
  }

  private void passOn() {
    if (!followed) {
      return;
    }
    int events = 0;
    for (EventSplitter.Whole e = waiting.poll(); e != null; e = waiting.poll()) {
      if (e.id().isPresent()) {
        request.lastEvent = e.id();
      }
      request.channel.stream(e.bytes());
      events++;
    }
    if (events > 0) {
      loop.submit(new RelayEvent.Progressed(loop.now(), id, events));
    }
  }

  /** Gives the caller the whole answer, or what is left of the stream and its end. */
  void deliver() {
    if (followed) {
      passOn();
      if (rest.length > 0) {
        request.channel.stream(rest);
      }
      request.channel.endStream();
    } else if (request.headSent) {
      // Another attempt has begun the stream, and nothing was left of it but its end.
      request.channel.endStream();
    } else {
      byte[] body = whole.toByteArray();
      request.channel.answer(new RecordedAnswer(head.status(), head.headers(), body));
    }
  }

  @Override
  public void onEnd() {
    if (over) {
      return;
    }
    over = true;
    splitter.ifPresent(s -> rest = s.rest());
    if (isBrokenOff()) {
      loop.submit(new RelayEvent.Lost(loop.now(), id, FailureCause.CONNECTION_LOST));
      return;
    }
    if (splitter.isPresent() && !begun) {
      whole.writeBytes(rest);
    }
    loop.submit(outcome());
  }

  /**
   * Whether a stream whose end is that of its connection ends inside an event, or before the first.
   * An upstream that dies ends the connection as well, and without a length only this shows it.
   */
  private boolean isBrokenOff() {
    return endsWithConnection && splitter.isPresent() && (endsInEvent(rest) || !sawEvent);
  }

  /** Whether bytes after the last whole event are more than the second half of its line end. */
  private static boolean endsInEvent(byte[] rest) {
    for (byte b : rest) {
      if (b != '\n' && b != '\r') {
        return true;
      }
    }
    return false;
  }

  private RelayEvent outcome() {
    long at = loop.now();
    return switch (verdict) {
      case GOOD ->
          purpose instanceof Purpose.ReadPrompt
              ? promptRead(at)
              : new RelayEvent.Answered(at, id, AnswerGrade.GOOD);
      case FAILED -> failed(at, AnswerGrade.FAILED);
      case REJECTED -> failed(at, AnswerGrade.REJECTED);
      case NOT_RUN -> new RelayEvent.Refused(at, id, RefusalCause.DECLINED);
      case WRONG_UPSTREAM -> new RelayEvent.Refused(at, id, RefusalCause.WRONG_UPSTREAM);
      case UNUSABLE -> new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER);
    };
  }

  private RelayEvent promptRead(long at) {
    return dialect
        .promptHandle(whole.toByteArray())
        .<RelayEvent>map(handle -> new RelayEvent.PromptRead(at, id, handle))
        .orElseGet(() -> new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER));
  }

  private RelayEvent failed(long at, AnswerGrade grade) {
    return purpose instanceof Purpose.ReadPrompt
        ? new RelayEvent.Lost(at, id, FailureCause.BAD_ANSWER)
        : new RelayEvent.Answered(at, id, grade);
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    if (over) {
      return;
    }
    over = true;
    long at = loop.now();
    boolean told = verdict == AnswerVerdict.NOT_RUN || verdict == AnswerVerdict.WRONG_UPSTREAM;
    if (failure.exposure() != Exposure.MAY_HAVE_RUN) {
      loop.submit(new RelayEvent.Refused(at, id, RefusalCause.NOT_SENT));
    } else if (told) {
      loop.submit(new RelayEvent.Refused(at, id, RefusalCause.DECLINED));
    } else {
      loop.submit(new RelayEvent.Lost(at, id, failure.cause()));
    }
  }
}
