/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import org.larkkeel.event.Event;

/** Adjusts the times of events. Stateless and safe for use by several threads. */
final class EventTimes {
  private EventTimes() {}

  /** Returns the event, with its time raised to {@code earliest} if it is before that. */
  static Event notBefore(Event event, long earliest) {
    return event.at() - earliest >= 0 ? event : withTime(event, earliest);
  }

  private static Event withTime(Event event, long at) {
    return switch (event) {
      case Event.RequestArrived e -> new Event.RequestArrived(at, e.call());
      case Event.CallerGone e -> new Event.CallerGone(at, e.request());
      case Event.OfAttempt e -> withTimeOfAttempt(e, at);
      case Event.LoadReported e -> new Event.LoadReported(at, e.upstream(), e.report());
      case Event.LoadUnavailable e -> new Event.LoadUnavailable(at, e.upstream());
      case Event.CacheChanged e ->
          new Event.CacheChanged(
              at, e.upstream(), e.incarnation(), e.sequence(), e.stored(), e.removed());
      case Event.ConfigurationAccepted e -> new Event.ConfigurationAccepted(at, e.configuration());
      case Event.PeersChanged e -> new Event.PeersChanged(at, e.live());
      case Event.SlotsGranted e -> new Event.SlotsGranted(at, e.upstream(), e.slots(), e.until());
      case Event.LimitGranted e -> new Event.LimitGranted(at, e.workspace(), e.share(), e.until());
      case Event.StopRequested e -> new Event.StopRequested(at);
      case Event.Ticked e -> new Event.Ticked(at);
    };
  }

  private static Event withTimeOfAttempt(Event.OfAttempt event, long at) {
    return switch (event) {
      case Event.PrefillDone e ->
          new Event.PrefillDone(at, e.attempt(), e.kvBytes(), e.cachedTokens());
      case Event.TransferDone e -> new Event.TransferDone(at, e.attempt());
      case Event.FirstToken e -> new Event.FirstToken(at, e.attempt());
      case Event.DecodeDone e -> new Event.DecodeDone(at, e.attempt(), e.tokens());
      case Event.PlainDone e -> new Event.PlainDone(at, e.attempt());
      case Event.AttemptFailed e ->
          new Event.AttemptFailed(at, e.attempt(), e.cause(), e.exposure(), e.tokens());
      case Event.CancelSettled e -> new Event.CancelSettled(at, e.attempt(), e.outcome());
      case Event.ClaimSettled e -> new Event.ClaimSettled(at, e.attempt(), e.outcome());
      case Event.RecordSettled e -> new Event.RecordSettled(at, e.attempt(), e.outcome());
    };
  }
}
