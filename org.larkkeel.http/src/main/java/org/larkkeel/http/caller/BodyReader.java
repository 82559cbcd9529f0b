/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.Problem;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads bodies within limits of size, time and memory.
 *
 * <p>Invariant: the bodies of all requests in progress take at most {@code maxBodiesBytes}. Safe
 * for use by several threads.
 */
public final class BodyReader {
  private final CallerSettings settings;
  private final AtomicLong reserved = new AtomicLong();

  /** Reads within the bounds of the settings. */
  public BodyReader(CallerSettings settings) {
    this.settings = settings;
  }

  /** A whole body, and what gives its memory back. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are handed on and never changed.
  public record Body(byte[] bytes, Runnable release) {}

  /**
   * Reads a body.
   *
   * @param exchange whose body
   * @param wireId what the caller calls its request, for answers to bodies that can not be read
   * @param then gets the whole body
   */
  public void read(HttpServerExchange exchange, String wireId, Consumer<Body> then) {
    long length = exchange.getRequestContentLength();
    if (length > settings.maxBodyBytes()) {
      exchange.setPersistent(false);
      throw tooLarge();
    }
    Runnable release = reserve(length < 0 ? settings.maxBodyBytes() : length);
    AtomicBoolean done = new AtomicBoolean();
    XnioExecutor.Key timer =
        exchange
            .getIoThread()
            .executeAfter(
                () -> timedOut(exchange, wireId, done, release),
                settings.bodyMillis(),
                TimeUnit.MILLISECONDS);
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(settings.maxBodyBytes());
    receiver.receiveFullBytes(
        (e, bytes) -> {
          timer.remove();
          if (done.compareAndSet(false, true)) {
            then.accept(new Body(bytes, release));
          }
        },
        (e, failure) -> {
          timer.remove();
          if (done.compareAndSet(false, true)) {
            release.run();
            failed(exchange, wireId, failure);
          }
        });
  }

  private Runnable reserve(long bytes) {
    if (reserved.addAndGet(bytes) > settings.maxBodiesBytes()) {
      reserved.addAndGet(-bytes);
      throw new LarkkeelException(
          ErrorKind.OVERLOADED, "The node holds as many request bodies as it may.");
    }
    AtomicBoolean released = new AtomicBoolean();
    return () -> {
      if (released.compareAndSet(false, true)) {
        reserved.addAndGet(-bytes);
      }
    };
  }

  private void timedOut(
      HttpServerExchange exchange, String wireId, AtomicBoolean done, Runnable release) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    release.run();
    String detail = "The body was not complete after " + settings.bodyMillis() + " ms.";
    closeAfter(exchange, Problem.of(ErrorKind.REQUEST_TIMEOUT, detail, wireId));
  }

  private void failed(HttpServerExchange exchange, String wireId, IOException failure) {
    if (failure instanceof Receiver.RequestToLargeException
        || failure instanceof RequestTooBigException) {
      closeAfter(exchange, Problem.of(ErrorKind.BODY_TOO_LARGE, limit(), wireId));
    } else {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  /** Answers and closes the connection, whose unread rest is of no use. */
  private static void closeAfter(HttpServerExchange exchange, Problem problem) {
    exchange.setPersistent(false);
    problem.send(exchange);
  }

  private LarkkeelException tooLarge() {
    return new LarkkeelException(ErrorKind.BODY_TOO_LARGE, limit());
  }

  private String limit() {
    return "The body is larger than " + settings.maxBodyBytes() + " bytes.";
  }
}
