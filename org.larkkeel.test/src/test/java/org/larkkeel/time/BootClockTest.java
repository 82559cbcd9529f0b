/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.time;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests the clock that includes suspensions. */
public class BootClockTest {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final Executor NEW_THREAD = task -> new Thread(task).start();

  /** A simulated machine with a steady clock, a time of day and a boot time. */
  private static final class Machine {
    private long steady = 5 * SECOND;
    private long wallMillis = 1_790_000_000_000L;
    private long boot = steady;
    private boolean hasBootTime = true;

    BootClock clock() {
      return new BootClock(
          () -> steady,
          () -> wallMillis,
          () -> hasBootTime ? OptionalLong.of(boot) : OptionalLong.empty());
    }

    void run(long millis) {
      steady += millis * MILLI;
      suspend(millis);
    }

    void suspend(long millis) {
      wallMillis += millis;
      boot += millis * MILLI;
    }
  }

  private static long elapsed(Machine m, Runnable what) {
    BootClock clock = m.clock();
    long before = clock.nanoTime();
    what.run();
    return (clock.nanoTime() - before) / MILLI;
  }

  /** Durations that the clock includes. */
  public static class Counted {
    @Test
    public void timeWhileTheMachineRuns() {
      Machine m = new Machine();
      assertEquals(elapsed(m, () -> m.run(1_234)), 1_234);
    }

    @Test
    public void timeWhileItIsSuspended() {
      Machine m = new Machine();
      assertEquals(elapsed(m, () -> m.suspend(4_000)), 4_000);
    }

    @Test
    public void severalSuspensions() {
      Machine m = new Machine();
      BootClock clock = m.clock();
      final long before = clock.nanoTime();
      for (int i = 0; i < 3; i++) {
        m.suspend(2_000);
        m.run(100);
        clock.nanoTime();
      }
      assertEquals((clock.nanoTime() - before) / MILLI, 6_300);
      assertEquals(clock.suspendedNanos(), 6 * SECOND);
    }

    @Test
    public void suspensionHiddenByStepBackOnceTheBootTimeWasRead() {
      Machine m = new Machine();
      BootClock clock = m.clock();
      m.wallMillis += 1_000;
      clock.nanoTime();
      final long before = clock.nanoTime();
      m.suspend(3_000);
      m.wallMillis -= 3_000;
      clock.check();
      assertEquals((clock.nanoTime() - before) / MILLI, 3_000);
    }
  }

  /** Threads that read the clock as the machine goes on. */
  public static class SeveralThreads {
    /** Guards against a time without the suspension while another thread reads the boot time. */
    @Test(timeOut = 20_000)
    public void allIncludeTheSuspension() throws Exception {
      AtomicLong wallMillis = new AtomicLong(1_790_000_000_000L);
      AtomicLong boot = new AtomicLong(5 * SECOND);
      CountDownLatch reading = new CountDownLatch(1);
      CountDownLatch mayRead = new CountDownLatch(1);
      BootClock clock =
          new BootClock(
              () -> 5 * SECOND,
              wallMillis::get,
              () -> {
                reading.countDown();
                Uninterruptibles.awaitUninterruptibly(mayRead);
                return OptionalLong.of(boot.get());
              });
      final long before = clock.nanoTime();
      wallMillis.addAndGet(4_000);
      boot.addAndGet(4 * SECOND);
      final CompletableFuture<Long> first =
          CompletableFuture.supplyAsync(clock::nanoTime, NEW_THREAD);
      reading.await();
      final CompletableFuture<Long> second =
          CompletableFuture.supplyAsync(clock::nanoTime, NEW_THREAD);
      Thread.sleep(100);
      mayRead.countDown();
      assertEquals(first.get() - before, 4 * SECOND);
      assertEquals(second.get() - before, 4 * SECOND);
      assertEquals(clock.suspendedNanos(), 4 * SECOND);
    }
  }

  /** Changes that the clock does not include. */
  public static class NotCounted {
    @Test
    public void stepsOfTheTimeOfDay() {
      Machine m = new Machine();
      long forth = elapsed(m, () -> m.wallMillis += 5_000);
      long back = elapsed(m, () -> m.wallMillis -= 9_000);
      assertEquals(forth + back, 0);
    }

    @Test
    public void suspensionsBeforeTheFirstReading() {
      Machine m = new Machine();
      BootClock clock = m.clock();
      m.suspend(4_000);
      long before = clock.nanoTime();
      m.run(100);
      assertEquals((clock.nanoTime() - before) / MILLI, 100);
    }

    @Test
    public void anythingOnMachinesWithoutBootTime() {
      Machine m = new Machine();
      m.hasBootTime = false;
      assertEquals(elapsed(m, () -> m.suspend(4_000)), 0);
    }
  }

  /** The clock of this machine. */
  public static class SystemClock {
    @Test
    public void advancesLikeTheSteadyClock() throws InterruptedException {
      BootClock clock = BootClock.SYSTEM;
      assertTrue(new BootTime().get().isPresent(), "native access is allowed in tests");
      long before = clock.nanoTime();
      Thread.sleep(30);
      clock.check();
      long elapsed = clock.nanoTime() - before;
      assertTrue(elapsed >= 30 * MILLI && elapsed < 10 * SECOND, elapsed + " ns");
    }
  }

  /** The clock of the process. */
  public static class OfTheProcess {
    /** Guards against a start that links native code although nothing was suspended. */
    @Test
    public void doesNotReadTheBootTimeWhileTheTimeOfDayIsSteady() {
      BootClock.SYSTEM.nanoTime();
      assertFalse(BootClock.SYSTEM.hasReadBootTime());
    }
  }
}
