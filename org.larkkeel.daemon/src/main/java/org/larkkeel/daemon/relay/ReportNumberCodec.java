/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Optional;

/**
 * Encodes and decodes the number of a report, in the report and in the messages that answer it.
 *
 * <p>Stateless and thread-safe.
 */
final class ReportNumberCodec {
  private ReportNumberCodec() {}

  private static byte[] toBytes(ReportNumber number) {
    return ExtensionBytes.write(
        out -> {
          out.writeI64(number.number());
          out.writeI64(number.heldMicros());
        });
  }

  /** Returns a message with a number, if there is one. */
  static PeerMessage add(PeerMessage message, Optional<ReportNumber> number) {
    return number
        .map(n -> message.withExtension(ExtensionId.REPORT_NUMBER, toBytes(n)))
        .orElse(message);
  }

  /** Returns the number that a message carries; empty if it carries none. */
  static Optional<ReportNumber> read(PeerMessage message) {
    return ExtensionBytes.read(
        message, ExtensionId.REPORT_NUMBER, in -> new ReportNumber(in.readI64(), in.readI64()));
  }
}
