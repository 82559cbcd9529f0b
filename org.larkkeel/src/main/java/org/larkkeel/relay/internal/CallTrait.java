/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.SuspectScope;

/**
 * Something that a call has and that may crash upstreams: its request, or a part of its prompt.
 *
 * <p>The last part of a prompt is none, as it belongs to the request. Immutable and thread-safe.
 *
 * @param id the fingerprint
 * @param scope what it is
 * @param wider those of the same call with a wider scope, the nearest ones first
 */
record CallTrait(Fingerprint id, SuspectScope scope, ImmutableSet<Fingerprint> wider) {
  /** The maximum number of parts of a prompt that are told apart. */
  private static final int MAX_PARTS = 32;

  /** Returns the parts of a call's prompt that other requests may share, the first one first. */
  static ImmutableList<Fingerprint> sharedParts(RelayCall call, ServiceName service) {
    return call.prompt().sharedParts().stream()
        .limit(MAX_PARTS)
        .map(part -> part.fingerprint(service))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the traits of a call, the narrowest first. */
  static ImmutableList<CallTrait> of(RelayCall call, ServiceName service) {
    ImmutableList<Fingerprint> parts = sharedParts(call, service);
    ImmutableList.Builder<CallTrait> traits = ImmutableList.builder();
    traits.add(
        new CallTrait(
            call.identity().fingerprint(), SuspectScope.REQUEST, nearest(parts, parts.size())));
    for (int i = parts.size() - 1; i >= 0; i--) {
      traits.add(new CallTrait(parts.get(i), new SuspectScope.PromptPart(i), nearest(parts, i)));
    }
    return traits.build();
  }

  private static ImmutableSet<Fingerprint> nearest(ImmutableList<Fingerprint> parts, int end) {
    return ImmutableSet.copyOf(
        parts.subList(Math.max(0, end - CrashSuspect.MAX_WIDER), end).reverse());
  }
}
