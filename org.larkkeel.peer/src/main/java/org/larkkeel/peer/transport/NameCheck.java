/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

/**
 * Whether the name that a peer claims in a call must stand in its certificate.
 *
 * @since 0.1
 */
public enum NameCheck {
  /**
   * Over TLS the name of the node must equal the common name or a DNS name of the certificate;
   * wildcards are not accepted. Plain connections, as in tests, are not checked.
   */
  REQUIRED,

  /** Any peer with an accepted certificate may claim any name. */
  OFF
}
