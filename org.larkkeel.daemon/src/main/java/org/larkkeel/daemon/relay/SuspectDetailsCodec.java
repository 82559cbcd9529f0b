/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.SuspectScope;

/**
 * Encodes and decodes what a message says of its suspects beyond their crashes: for each suspect,
 * by position, its position in prompts (32 bits; -1 for a request), the number of wider suspects (8
 * bits) and their fingerprints, and for each crash, by position, the time since the suspect was
 * sent to the upstream (64 bits, nanoseconds). Then follows for each crash of all suspects, by
 * position, the time for which its stream had run (64 bits, nanoseconds); nodes of earlier versions
 * do not send it, and ignore it.
 *
 * <p>Stateless and thread-safe.
 */
final class SuspectDetailsCodec {
  private static final int REQUEST = -1;

  private SuspectDetailsCodec() {}

  /** Returns the details; empty if all suspects are requests that nothing else is known of. */
  static Optional<byte[]> toBytes(List<CrashSuspect> suspects) {
    if (suspects.stream().allMatch(SuspectDetailsCodec::isPlain)) {
      return Optional.empty();
    }
    ByteArrayDataOutput out = ByteStreams.newDataOutput();
    for (CrashSuspect s : suspects) {
      out.writeInt(
          switch (s.scope()) {
            case SuspectScope.Request r -> REQUEST;
            case SuspectScope.PromptPart p -> p.position();
          });
      out.writeByte(s.wider().size());
      for (Fingerprint f : s.wider()) {
        out.writeLong(f.high());
        out.writeLong(f.low());
      }
      s.crashes().values().forEach(c -> out.writeLong(c.sentAgeNanos()));
    }
    for (CrashSuspect s : suspects) {
      s.crashes().values().forEach(c -> out.writeLong(c.streamedNanos()));
    }
    return Optional.of(out.toByteArray());
  }

  private static boolean isPlain(CrashSuspect s) {
    return s.scope() instanceof SuspectScope.Request
        && s.wider().isEmpty()
        && s.crashes().values().stream().allMatch(c -> c.sentAgeNanos() == c.ageNanos());
  }

  /**
   * Adds the details to suspects.
   *
   * @throws IllegalArgumentException if the bytes are malformed or of other suspects
   */
  static ImmutableList<CrashSuspect> apply(byte[] bytes, List<CrashSuspect> suspects) {
    ByteArrayInputStream source = new ByteArrayInputStream(bytes);
    ByteArrayDataInput in = ByteStreams.newDataInput(source);
    ImmutableList.Builder<CrashSuspect> complete = ImmutableList.builder();
    try {
      for (CrashSuspect s : suspects) {
        complete.add(read(in, s));
      }
      return source.available() == 0 ? complete.build() : readStreamed(in, complete.build());
    } catch (IllegalStateException e) {
      throw new IllegalArgumentException("the details of suspects end early", e);
    }
  }

  private static ImmutableList<CrashSuspect> readStreamed(
      ByteArrayDataInput in, List<CrashSuspect> suspects) {
    ImmutableList.Builder<CrashSuspect> complete = ImmutableList.builder();
    for (CrashSuspect s : suspects) {
      ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes =
          ImmutableMap.builder();
      s.crashes()
          .forEach(
              (incarnation, c) ->
                  crashes.put(
                      incarnation,
                      new CrashSuspect.Crash(c.ageNanos(), c.sentAgeNanos(), in.readLong())));
      complete.add(
          new CrashSuspect(
              s.id(), s.scope(), s.clearanceEpoch(), crashes.buildOrThrow(), s.wider()));
    }
    return complete.build();
  }

  private static CrashSuspect read(ByteArrayDataInput in, CrashSuspect s) {
    int position = in.readInt();
    SuspectScope scope =
        position == REQUEST ? SuspectScope.REQUEST : new SuspectScope.PromptPart(position);
    ImmutableSet.Builder<Fingerprint> wider = ImmutableSet.builder();
    for (int i = in.readByte(); i > 0; i--) {
      wider.add(new Fingerprint(in.readLong(), in.readLong()));
    }
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes = ImmutableMap.builder();
    s.crashes()
        .forEach(
            (incarnation, c) ->
                crashes.put(incarnation, new CrashSuspect.Crash(c.ageNanos(), in.readLong())));
    return new CrashSuspect(
        s.id(), scope, s.clearanceEpoch(), crashes.buildOrThrow(), wider.build());
  }
}
