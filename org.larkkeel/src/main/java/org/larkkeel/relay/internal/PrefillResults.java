/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;

/**
 * Tracks the prompts that one upstream prefilled for another to take over.
 *
 * <p>Invariant: each prompt is taken over, freed or reported as wasted. Not thread-safe.
 */
final class PrefillResults {
  /**
   * The number of upstreams that must decline a prompt before its handle is suspected to be lost.
   */
  private static final int MAX_DECLINES = 2;

  private final UpstreamTable upstreams;
  private final Consumer<RelayEffect> effects;

  PrefillResults(UpstreamTable upstreams, Consumer<RelayEffect> effects) {
    this.upstreams = upstreams;
    this.effects = effects;
  }

  /** Frees the prefilled prompt of a call, if it has one, and reports the prefill as wasted. */
  void free(CallState c) {
    if (c.prefilledPrompt != null) {
      effects.accept(new RelayEffect.Free(c.prefilledPrompt.source(), c.prefilledPrompt.handle()));
      reportWasted(c, c.prefilledPrompt.source().name());
      c.prefilledPrompt = null;
    }
  }

  /**
   * Confirms the loss of a prompt once the upstream that declined it runs the call without it,
   * which proves that the upstream was not full.
   */
  void confirmLoss(long at, AttemptState a) {
    CallState c = a.call();
    if (c.suspectUpstream != null && a.prefillsLocally()) {
      upstreams.find(c.suspectUpstream).ifPresent(s -> upstreams.handleLost(s, at));
    }
    c.suspectUpstream = null;
  }

  /**
   * Handles an upstream that declined a prompt, because it is full or the prompt is lost. Another
   * upstream is tried first; after that, the last one prefills the prompt locally. A prompt that is
   * void because its upstream restarted is no evidence of a loss.
   *
   * @param prompt the declined prompt
   * @param hasOther whether another upstream could take the prompt over
   * @return whether the call continues with its prompt elsewhere
   */
  boolean continuesElsewhere(CallState c, Purpose.TakeOver prompt, BooleanSupplier hasOther) {
    boolean isVoid = c.prefilledPrompt == null;
    c.promptDeclines++;
    if (!isVoid && c.promptDeclines < MAX_DECLINES && hasOther.getAsBoolean()) {
      return true;
    }
    if (!isVoid) {
      c.suspectUpstream = prompt.source().incarnation();
    }
    reportWasted(c, prompt.source().name());
    c.prefilledPrompt = null;
    return false;
  }

  private void reportWasted(CallState c, UpstreamName prefillUpstream) {
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.PromptWasted(c.call.wireId(), prefillUpstream, c.call.size().prompt())));
  }
}
