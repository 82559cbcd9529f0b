/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.larkkeel.peer.transport.DatagramKey;

/** Reads the shared secret of the peers. Stateless and safe for use by several threads. */
final class PeerSecret {
  private static final int KEY_ID = 1;

  private PeerSecret() {}

  /**
   * Reads the secret as a key for datagrams.
   *
   * @throws IOException if the file cannot be read
   * @throws IllegalArgumentException if the secret is too short
   */
  static DatagramKey read(Path file) throws IOException {
    return new DatagramKey(KEY_ID, Files.readAllBytes(file));
  }
}
