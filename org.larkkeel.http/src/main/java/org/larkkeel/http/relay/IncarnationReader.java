/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import io.undertow.util.StatusCodes;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.relay.IncarnationAnswer;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayUpstream;

/**
 * Asks upstreams for their incarnations.
 *
 * <p>Safe for use by several threads.
 */
final class IncarnationReader {
  private static final int MISDIRECTED_REQUEST = 421;

  /** The maximum wait, within the pause that the caller of a stream tolerates. */
  private static final long TIMEOUT_NANOS = 300_000_000L;

  private final ControlSender sender;
  private final RelayDialect dialect;
  private final RelayLoop loop;

  IncarnationReader(ControlSender sender, RelayDialect dialect, RelayLoop loop) {
    this.sender = sender;
    this.dialect = dialect;
    this.loop = loop;
  }

  /**
   * The answer of an upstream.
   *
   * @param answer what the upstream told
   * @param failure why there is no answer; empty if there is one
   */
  record Reading(IncarnationAnswer answer, Optional<RefusalCause> failure) {
    private static Reading of(IncarnationAnswer answer) {
      return new Reading(answer, Optional.empty());
    }
  }

  /**
   * Asks an upstream. One that limits the rate of its requests is not asked.
   *
   * @param upstream the listed incarnation
   * @param destination the way to the upstream
   * @param done receives the reading, exactly once
   */
  void read(RelayUpstream upstream, Destination destination, Consumer<Reading> done) {
    if (loop.isRateLimited(upstream.incarnation())) {
      done.accept(Reading.of(IncarnationAnswer.NOT_TOLD));
      return;
    }
    sender.send(
        upstream,
        destination,
        dialect.incarnation(),
        TIMEOUT_NANOS,
        () -> loop.acceptsRequests(upstream.incarnation()),
        answer -> done.accept(Reading.of(compare(upstream, answer))),
        failure ->
            done.accept(new Reading(IncarnationAnswer.NONE, Optional.of(refusalCause(failure)))));
  }

  private IncarnationAnswer compare(RelayUpstream upstream, ResponseCollector.Response answer) {
    if (answer.status() == MISDIRECTED_REQUEST) {
      return IncarnationAnswer.OTHER;
    }
    if (answer.status() != StatusCodes.OK) {
      return IncarnationAnswer.NOT_TOLD;
    }
    Optional<Incarnation> told = dialect.readIncarnation(answer.body());
    if (told.isEmpty()) {
      return IncarnationAnswer.NOT_TOLD;
    }
    return told.get().equals(upstream.incarnation().incarnation())
        ? IncarnationAnswer.CONFIRMED
        : IncarnationAnswer.OTHER;
  }

  /** Returns why a request was not sent. */
  static RefusalCause refusalCause(UpstreamFailure failure) {
    return switch (failure.connect()) {
      case NONE -> RefusalCause.NOT_SENT;
      case REFUSED -> RefusalCause.CONNECT_REFUSED;
      case TIMED_OUT -> RefusalCause.CONNECT_TIMED_OUT;
    };
  }
}
