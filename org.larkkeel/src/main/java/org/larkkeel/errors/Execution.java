/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

/**
 * What a refused caller may conclude about the execution of its request.
 *
 * @since 0.1
 */
public enum Execution {
  /** No byte of the request reached an upstream, or the upstream durably refused it. */
  NOT_RUN,
  /** The request may have run, partially or completely. */
  MAY_HAVE_RUN,
  /** The request ran. */
  RAN
}
