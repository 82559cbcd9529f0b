/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.Problem;
import org.larkkeel.http.request.CallerChannel;
import org.larkkeel.http.request.RecordedAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the answer to one request through Undertow.
 *
 * <p>Invariants: at most {@link CallerSettings#maxPendingBytes} of a stream are buffered. The
 * connection of a caller that reads too slowly is closed, so that a slow caller cannot hold up a
 * decode slot. Where the close of the connection ends a stream, the connection is reset unless the
 * stream has ended in order, also by the system if the process is killed. Safe for use by several
 * threads; the connection is used on its I/O thread only.
 */
public final class UndertowChannel implements CallerChannel {
  private static final Logger log = LoggerFactory.getLogger(UndertowChannel.class);
  private static final String EVENT_STREAM = "text/event-stream";
  private static final byte[] ERROR_EVENT = "event: error\ndata: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final HttpServerExchange exchange;
  private final XnioIoThread thread;
  private final CallerSettings settings;
  private final Runnable release;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private Runnable onDisconnect = () -> {};
  private Optional<RecordedAnswer> streamHead = Optional.empty();
  private int pendingBytes;
  private boolean streaming;
  private boolean ended;
  private boolean closed;
  private boolean truncated;
  private boolean flushScheduled;

  // Used on the I/O thread only.
  private StreamSinkChannel sink;
  private XnioExecutor.Key stallTimer;
  private long written;

  /**
   * Creates a channel that answers an exchange.
   *
   * @param exchange the exchange, which the caller of this constructor dispatches
   * @param settings the limits on buffered bytes and on the time without progress
   * @param release run once, when the exchange has ended
   */
  public UndertowChannel(HttpServerExchange exchange, CallerSettings settings, Runnable release) {
    this.exchange = exchange;
    this.thread = exchange.getIoThread();
    this.settings = settings;
    this.release = release;
    exchange.addExchangeCompleteListener(
        (e, next) -> {
          exchangeCompleted();
          next.proceed();
        });
  }

  /** Sets the action that runs once if the caller disconnects before the end of its answer. */
  public synchronized void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  /** Starts to watch for a disconnect of the caller. Must be called on the I/O thread. */
  public void watchForDisconnect() {
    DisconnectWatch.start(exchange, this::disconnect);
  }

  @Override
  public void answer(RecordedAnswer answer) {
    if (markEnded()) {
      thread.execute(() -> writeAnswer(answer));
    }
  }

  @Override
  public synchronized void stream(byte[] part) {
    if (ended || closed || truncated) {
      return;
    }
    streaming = true;
    if (pendingBytes + part.length > settings.maxPendingBytes()) {
      truncated = true;
      thread.execute(this::disconnect);
      return;
    }
    enqueue(part);
    scheduleFlush();
  }

  /**
   * Sets the status and headers of the stream, in place of the default ones of an event stream.
   * Must be called before the first part. The body of {@code head} is ignored.
   */
  public synchronized void beginStream(RecordedAnswer head) {
    streamHead = Optional.of(head);
  }

  @Override
  public void endStream() {
    if (markEnded()) {
      thread.execute(this::flush);
    }
  }

  @Override
  public void refuse(Problem problem) {
    boolean started;
    synchronized (this) {
      started = streaming;
    }
    if (!markEnded()) {
      return;
    }
    if (started) {
      synchronized (this) {
        enqueue(ERROR_EVENT);
        enqueue(problem.bytes());
        enqueue(EVENT_END);
      }
      thread.execute(this::flush);
    } else {
      thread.execute(() -> writeProblem(problem));
    }
  }

  @Override
  public void drop() {
    synchronized (this) {
      // Buffered parts may be written before the connection closes, but never the end of the
      // stream.
      truncated |= !ended;
    }
    if (markEnded()) {
      thread.execute(this::abortConnection);
    }
  }

  /** Closes the connection such that the caller sees that the answer is incomplete. */
  private void abortConnection() {
    setResetOnClose(true);
    IoUtils.safeClose(exchange.getConnection());
  }

  /**
   * Sets whether a close resets the connection of a caller that knows no chunks. For such a caller
   * an orderly close ends the answer normally; only a reset shows a failure.
   */
  private void setResetOnClose(boolean reset) {
    if (exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
      return;
    }
    try {
      exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
    } catch (IOException e) {
      log.debug("event=reset_failed cause={}", e.getMessage());
    }
  }

  private synchronized boolean markEnded() {
    boolean first = !ended && !closed;
    ended = true;
    return first;
  }

  private void enqueue(byte[] part) {
    pending.add(ByteBuffer.wrap(part));
    pendingBytes += part.length;
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      thread.execute(this::flush);
    }
  }

  private void writeAnswer(RecordedAnswer answer) {
    setHead(answer);
    writeBody(answer.body());
  }

  private void setHead(RecordedAnswer answer) {
    exchange.setStatusCode(answer.status());
    for (RecordedAnswer.Header header : answer.headers()) {
      exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
    }
  }

  private synchronized Optional<RecordedAnswer> streamHead() {
    return streamHead;
  }

  private void writeProblem(Problem problem) {
    problem.setHeaders(exchange);
    writeBody(problem.bytes());
  }

  private void writeBody(byte[] body) {
    int status = exchange.getStatusCode();
    if (status != StatusCodes.NO_CONTENT && status != StatusCodes.NOT_MODIFIED) {
      exchange.setResponseContentLength(body.length);
    }
    synchronized (this) {
      if (body.length > 0) {
        enqueue(body);
      }
    }
    sink = exchange.getResponseChannel();
    flush();
  }

  private void flush() {
    synchronized (this) {
      flushScheduled = false;
      if (closed) {
        return;
      }
    }
    try {
      if (sink == null) {
        startStream();
      }
      writePending();
    } catch (IOException e) {
      disconnect();
    }
  }

  private void startStream() throws IOException {
    Optional<RecordedAnswer> head = streamHead();
    if (head.isPresent()) {
      setHead(head.get());
    } else {
      exchange.setStatusCode(StatusCodes.OK);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, EVENT_STREAM);
      exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
    }
    if (exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
      // Without chunks the close of the connection ends the stream; a truncated one looks complete.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
    setResetOnClose(true);
    sink = exchange.getResponseChannel();
    if (sink == null) {
      throw new IOException("the response channel was already taken; the answer has ended");
    }
  }

  private void writePending() throws IOException {
    ByteBuffer buffer = firstUnwritten();
    while (buffer != null) {
      int n = sink.write(buffer);
      if (n == 0) {
        waitForCaller();
        return;
      }
      written += n;
      buffer = firstUnwritten();
    }
    if (isCompletelyWritten()) {
      setResetOnClose(false);
      sink.shutdownWrites();
    }
    if (!sink.flush()) {
      waitForCaller();
      return;
    }
    stopStallTimer();
    sink.suspendWrites();
    if (isCompletelyWritten()) {
      exchange.endExchange();
    }
  }

  /** Returns the first buffer with unwritten bytes, or null. Removes the buffers before it. */
  private synchronized ByteBuffer firstUnwritten() {
    ByteBuffer buffer = pending.peekFirst();
    while (buffer != null && !buffer.hasRemaining()) {
      pending.removeFirst();
      pendingBytes -= buffer.capacity();
      buffer = pending.peekFirst();
    }
    return buffer;
  }

  private synchronized boolean isCompletelyWritten() {
    return ended && !truncated && pending.isEmpty();
  }

  private void waitForCaller() {
    sink.getWriteSetter().set(c -> flush());
    sink.resumeWrites();
    if (stallTimer == null) {
      startStallTimer();
    }
  }

  private void startStallTimer() {
    long writtenBefore = written;
    stallTimer =
        thread.executeAfter(
            () -> checkStall(writtenBefore), settings.stallMillis(), TimeUnit.MILLISECONDS);
  }

  private void checkStall(long writtenBefore) {
    stallTimer = null;
    if (written == writtenBefore) {
      disconnect();
    } else {
      startStallTimer();
    }
  }

  private void stopStallTimer() {
    if (stallTimer != null) {
      stallTimer.remove();
      stallTimer = null;
    }
  }

  /**
   * Closes the connection of a caller that has disconnected or reads too slowly. Runs on the I/O
   * thread.
   */
  private void disconnect() {
    Runnable notification = close();
    IoUtils.safeClose(exchange.getConnection());
    notification.run();
  }

  /** Releases all resources when the exchange has completed or failed. Runs on an I/O thread. */
  private void exchangeCompleted() {
    close().run();
  }

  private synchronized Runnable close() {
    if (closed) {
      return () -> {};
    }
    closed = true;
    stopStallTimer();
    pending.clear();
    pendingBytes = 0;
    release.run();
    return ended ? () -> {} : onDisconnect;
  }
}
