/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * Whether an upstream is asked for its incarnation before a request is sent to it.
 *
 * <p>An upstream may have started again, as another build, before its entry says so. It keeps its
 * name and address, so that it takes a request for its previous incarnation.
 *
 * @since 0.1
 */
public enum IncarnationCheck {
  /** It is not asked. */
  NONE,

  /** It is asked, and the request is sent also if it does not tell its incarnation. */
  ASK,

  /** It is asked, and the request is sent only if it is the listed incarnation. */
  REQUIRE
}
