/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

/**
 * Determines whether the node name in a peer's call must be in the peer's certificate.
 *
 * @since 0.1
 */
public enum NameCheck {
  /**
   * Over TLS the node name must equal the common name or a DNS name of the certificate; wildcards
   * are not accepted. Plain connections, as in tests, are not checked.
   */
  REQUIRED,

  /** A peer with an accepted certificate may use any node name. */
  OFF
}
