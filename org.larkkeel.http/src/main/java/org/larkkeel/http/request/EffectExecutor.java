/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.function.LongSupplier;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.http.Problem;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamDirectory;

/**
 * Executes the effects that concern callers and upstreams.
 *
 * <p>Each effect on an attempt leads to exactly one event with its outcome, timeouts included; a
 * decode also leads to {@code FirstToken}. Safe for use by several threads; no method blocks. The
 * effects on one request must be executed in the order in which the reducer decided them.
 *
 * @since 0.1
 */
public final class EffectExecutor {
  private final RequestTable table;
  private final AttemptRunner attempts;
  private final Canceller canceller;

  /**
   * Creates an executor.
   *
   * @param origin the host and incarnation of this node
   * @param table the requests in progress
   * @param client sends requests to upstreams
   * @param directory finds the addresses of upstreams
   * @param events receives the outcomes
   * @param clock the monotonic clock of the node, nanoseconds
   */
  public EffectExecutor(
      EngineRequestId.Origin origin,
      RequestTable table,
      UpstreamClient client,
      UpstreamDirectory directory,
      EventSink events,
      LongSupplier clock) {
    this.table = table;
    Attempts registry = new Attempts(origin, client, new KnownAddresses(directory), events, clock);
    this.attempts = new AttemptRunner(table, registry);
    this.canceller = new Canceller(table, registry);
  }

  /**
   * Executes an effect.
   *
   * @param effect the effect
   * @return false if the effect concerns neither callers nor upstreams; nothing was done then
   */
  public boolean execute(Effect effect) {
    switch (effect) {
      case Effect.StartPrefill e -> attempts.prefill(e);
      case Effect.StartTransfer e -> attempts.transfer(e);
      case Effect.StartDecode e -> attempts.decode(e);
      case Effect.SendPlain e -> attempts.plain(e);
      case Effect.Cancel e -> canceller.cancel(e);
      case Effect.Complete e -> table.remove(e.request()).ifPresent(r -> r.complete(e.attempt()));
      case Effect.Replay e -> replay(e);
      case Effect.Refuse e -> refuse(e);
      case Effect.Forget e -> table.remove(e.request()).ifPresent(r -> r.channel().drop());
      case Effect.ClaimRun _,
          Effect.RecordRun _,
          Effect.WantSlots _,
          Effect.WantLimit _,
          Effect.Wake _,
          Effect.Report _ -> {
        return false;
      }
    }
    return true;
  }

  private void refuse(Effect.Refuse e) {
    table
        .remove(e.request())
        .ifPresent(
            r -> r.refuse(new Problem(e.kind(), e.detail(), r.wireId(), e.retryAfterMillis())));
  }

  private void replay(Effect.Replay e) {
    RecordedAnswer recorded = table.recorded(e.request()).orElse(null);
    table
        .remove(e.request())
        .ifPresent(
            r -> {
              if (recorded == null) {
                r.refuse(
                    Problem.of(
                        ErrorKind.UNKNOWN_OUTCOME, "The recorded answer is lost.", r.wireId()));
              } else {
                r.replay(recorded);
              }
            });
  }
}
