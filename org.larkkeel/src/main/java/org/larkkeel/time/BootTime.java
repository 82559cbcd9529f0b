/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.time;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads the kernel's {@code CLOCK_BOOTTIME}, which the JDK does not provide.
 *
 * <p>The result is empty if the C library has no {@code clock_gettime} or if native access is not
 * allowed. Safe for use by several threads.
 */
final class BootTime implements Supplier<OptionalLong> {
  private static final int CLOCK_BOOTTIME = 7;
  private static final int TIMESPEC_BYTES = 16;

  /** Created on first use because the linker is slow to start. */
  private MethodHandle clockGettime;

  private MemorySegment timespec;
  private boolean unavailable;

  @Override
  public synchronized OptionalLong get() {
    if (unavailable) {
      return OptionalLong.empty();
    }
    try {
      link();
      int status = (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
      return status == 0 ? OptionalLong.of(nanos()) : OptionalLong.empty();
    } catch (Throwable e) {
      // Without the boot time, the clock continues with the steady clock alone.
      unavailable = true;
      return OptionalLong.empty();
    }
  }

  private void link() {
    if (clockGettime != null) {
      return;
    }
    Linker linker = Linker.nativeLinker();
    FunctionDescriptor signature =
        FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS);
    MemorySegment symbol = linker.defaultLookup().find("clock_gettime").orElseThrow();
    timespec = Arena.global().allocate(TIMESPEC_BYTES, Long.BYTES);
    clockGettime = linker.downcallHandle(symbol, signature);
  }

  private long nanos() {
    long seconds = timespec.get(ValueLayout.JAVA_LONG, 0);
    return TimeUnit.SECONDS.toNanos(seconds) + timespec.get(ValueLayout.JAVA_LONG, Long.BYTES);
  }
}
