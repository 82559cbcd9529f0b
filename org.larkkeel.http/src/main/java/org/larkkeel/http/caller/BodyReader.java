/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.Problem;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads request bodies within limits on size, duration and total memory.
 *
 * <p>Invariant: the memory reserved for the bodies of all requests in progress is at most {@link
 * CallerSettings#maxBodiesBytes}. A body without a declared length reserves memory as it arrives.
 * Safe for use by several threads.
 */
public final class BodyReader {
  private static final String FULL_DETAIL = "The node holds as many request bodies as it may.";

  private final CallerSettings settings;
  private final AtomicLong reserved = new AtomicLong();

  /** Creates a reader with the limits of the settings. */
  public BodyReader(CallerSettings settings) {
    this.settings = settings;
  }

  /** A complete body, and the action that releases the memory reserved for it. */
  @SuppressWarnings("ArrayRecordComponent") // The array is passed on and never modified.
  public record Body(byte[] bytes, Runnable release) {}

  /**
   * Reads the body of a request. On failure, the caller is answered with a problem or its
   * connection is closed.
   *
   * @param exchange the exchange of the request
   * @param wireId the id of the request as the caller knows it, for problem bodies
   * @param onBody receives the complete body, on the I/O thread
   * @throws LarkkeelException if the declared length is too large or no memory is left
   */
  public void read(HttpServerExchange exchange, String wireId, Consumer<Body> onBody) {
    long length = exchange.getRequestContentLength();
    if (length > settings.maxBodyBytes()) {
      exchange.setPersistent(false);
      throw tooLarge();
    }
    Reservation reservation = new Reservation();
    if (length > 0 && !reservation.grow(length)) {
      throw new LarkkeelException(ErrorKind.OVERLOADED, FULL_DETAIL);
    }
    Runnable release = reservation::release;
    AtomicBoolean done = new AtomicBoolean();
    XnioExecutor.Key timer =
        exchange
            .getIoThread()
            .executeAfter(
                () -> timedOut(exchange, wireId, done, release),
                settings.bodyMillis(),
                TimeUnit.MILLISECONDS);
    Receiver receiver = exchange.getRequestReceiver();
    Consumer<byte[]> complete =
        bytes -> {
          timer.remove();
          if (done.compareAndSet(false, true)) {
            onBody.accept(new Body(bytes, release));
          }
        };
    Receiver.ErrorCallback failed =
        (e, failure) -> {
          timer.remove();
          if (done.compareAndSet(false, true)) {
            release.run();
            failed(exchange, wireId, failure);
          }
        };
    receiver.setMaxBufferSize(settings.maxBodyBytes());
    if (length >= 0) {
      receiver.receiveFullBytes((e, bytes) -> complete.accept(bytes), failed);
      return;
    }
    ByteArrayOutputStream collected = new ByteArrayOutputStream();
    receiver.receivePartialBytes(
        (e, part, last) -> {
          if (done.get()) {
            return;
          }
          Optional<Problem> problem =
              problem(wireId, collected.size() + part.length, () -> reservation.grow(part.length));
          if (problem.isPresent()) {
            timer.remove();
            done.set(true);
            release.run();
            sendAndClose(exchange, problem.get());
            return;
          }
          collected.writeBytes(part);
          if (last) {
            complete.accept(collected.toByteArray());
          }
        },
        failed);
  }

  /** Returns why a body of a size cannot be read further; empty if it can. */
  private Optional<Problem> problem(String wireId, int size, BooleanSupplier reserves) {
    if (size > settings.maxBodyBytes()) {
      return Optional.of(Problem.of(ErrorKind.BODY_TOO_LARGE, limitDetail(), wireId));
    }
    return reserves.getAsBoolean()
        ? Optional.empty()
        : Optional.of(Problem.of(ErrorKind.OVERLOADED, FULL_DETAIL, wireId));
  }

  /** The memory reserved for one body. */
  private final class Reservation {
    private long bytes;
    private boolean released;

    /** Reserves further memory; returns false, and reserves none, if too little is left. */
    synchronized boolean grow(long more) {
      if (released || reserved.addAndGet(more) > settings.maxBodiesBytes()) {
        if (!released) {
          reserved.addAndGet(-more);
        }
        return false;
      }
      bytes += more;
      return true;
    }

    synchronized void release() {
      if (!released) {
        released = true;
        reserved.addAndGet(-bytes);
      }
    }
  }

  private void timedOut(
      HttpServerExchange exchange, String wireId, AtomicBoolean done, Runnable release) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    release.run();
    String detail = "The body was not complete after " + settings.bodyMillis() + " ms.";
    sendAndClose(exchange, Problem.of(ErrorKind.REQUEST_TIMEOUT, detail, wireId));
  }

  private void failed(HttpServerExchange exchange, String wireId, IOException failure) {
    if (failure instanceof Receiver.RequestToLargeException
        || failure instanceof RequestTooBigException) {
      sendAndClose(exchange, Problem.of(ErrorKind.BODY_TOO_LARGE, limitDetail(), wireId));
    } else {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  /** Sends a problem and closes the connection, since the rest of the body stays unread. */
  private static void sendAndClose(HttpServerExchange exchange, Problem problem) {
    exchange.setPersistent(false);
    problem.send(exchange);
  }

  private LarkkeelException tooLarge() {
    return new LarkkeelException(ErrorKind.BODY_TOO_LARGE, limitDetail());
  }

  private String limitDetail() {
    return "The body is larger than " + settings.maxBodyBytes() + " bytes.";
  }
}
