/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * The builds that may have begun the streams that callers can still take up, as kept in the store.
 *
 * <p>Invariant: a service that is named has been served by no other build for as long as a stream
 * can last. Nothing is known of a service that is not named. Immutable and safe for use by several
 * threads.
 *
 * @param builds the builds by service
 * @since 0.1
 */
public record BuildHistory(ImmutableMap<ServiceName, ImmutableSet<BuildName>> builds) {
  /** Nothing is known of any service. */
  public static final BuildHistory NONE = new BuildHistory(ImmutableMap.of());
}
