/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreEra;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.log.AppendId;
import org.larkkeel.store.log.WriterId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A lease over one object with conditional updates.
 *
 * <p>No clocks are compared. The holder counts its time from before it sent the write that was
 * granted; others take over only after the object has not changed for the duration, and a margin,
 * of their own monotonic time. Invariants: the fencing number grows with each take-over; while
 * clocks run at rates that differ by less than the margin, two processes do not hold the lease at
 * once. A process that is paused may still act after its lease has lapsed: what it does must carry
 * the fencing number. A store that comes back from a copy may have lost the lease, or bring an
 * older one back: in each era the lease is taken only after a duration in which the holder of
 * before must have lost it, by a number that is greater than all of earlier eras. Confined to the
 * scheduler, but for its public methods.
 *
 * @since 0.1
 */
public final class Lease implements AutoCloseable {
  /** The collection of the leases. */
  public static final String COLLECTION = "leases";

  private static final Logger LOG = LoggerFactory.getLogger(Lease.class);
  private static final int STEPS_PER_DURATION = 4;
  private static final int MARGIN_DIVISOR = 10;

  /** More take-overs than an era can have. */
  private static final long NUMBERS_PER_ERA = 1_000_000;

  private final ObjectApi api;
  private final ObjectKey key;
  private final WriterId self;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Duration duration;
  private volatile Optional<Tenure> tenure = Optional.empty();
  private StoreVersion observedVersion = StoreVersion.NONE;
  private long era;
  private long observedAt;
  private long writes;
  private Optional<Attempt> unresolved = Optional.empty();
  private boolean seeking;
  private boolean running;
  private boolean writing;
  private boolean closed;
  private Optional<LeaseRecord> last = Optional.empty();

  private record Attempt(LeaseRecord record, long sentAt) {}

  /**
   * Creates a lease that is not sought yet.
   *
   * @param api the object API
   * @param name names the lease
   * @param self this process
   * @param scheduler the API's scheduler
   * @param random the source of jitter
   * @param duration how long it lasts without renewal
   */
  public Lease(
      ObjectApi api,
      String name,
      WriterId self,
      Scheduler scheduler,
      RandomGenerator random,
      Duration duration) {
    this.api = api;
    this.key = new ObjectKey(COLLECTION, name);
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.duration = duration;
  }

  /** Seeks the lease, and renews it while held, until released or closed. */
  public void start() {
    scheduler.execute(this::seek);
  }

  private void seek() {
    if (closed) {
      return;
    }
    seeking = true;
    if (!running) {
      running = true;
      read();
    }
  }

  /**
   * Seeks and renews no more, and marks the lease as released so that another takes it over at
   * once; if that write fails, the lease lapses. What was begun under the lease must still carry
   * its number.
   */
  public void release() {
    scheduler.execute(this::handOver);
  }

  private void handOver() {
    boolean held = tenure().isPresent();
    seeking = false;
    tenure = Optional.empty();
    if (held && !writing) {
      markReleased(observedVersion);
    }
  }

  private void markReleased(StoreVersion version) {
    LeaseRecord held = last.orElseThrow();
    writes++;
    LeaseRecord r = new LeaseRecord(self, held.fencing(), new AppendId(self, writes), true);
    LOG.info("event=lease-released lease={} fencing={}", key.name(), r.fencing());
    var unused = api.update(key, LeaseRecord.KIND, r.toSpec(), version);
  }

  /**
   * The time for which the lease is held.
   *
   * @return the tenure, empty if the lease is not held now
   */
  public Optional<Tenure> tenure() {
    return tenure.filter(t -> t.isHeld(scheduler.nanoTime()));
  }

  /** Releases the lease for good. */
  @Override
  public void close() {
    release();
    scheduler.execute(() -> closed = true);
  }

  private void read() {
    if (!seeking) {
      running = false;
      return;
    }
    api.get(key)
        .whenComplete(
            (object, failure) -> {
              followEra();
              if (failure == null) {
                observed(object);
              } else if (isNotFound(failure) && isSettled()) {
                write(Optional.empty(), first());
              } else {
                again();
              }
            });
  }

  /** What was held, or may have been written, in another era is held no more. */
  private void followEra() {
    if (era != api.era().number()) {
      era = api.era().number();
      tenure = Optional.empty();
      unresolved = Optional.empty();
    }
  }

  /** Whether a holder of the era before has lost the lease by now. */
  private boolean isSettled() {
    StoreEra now = api.era();
    return now.number() == 0 || scheduler.nanoTime() - now.sinceNanos() >= patience();
  }

  private FencingNumber first() {
    return new FencingNumber(era * NUMBERS_PER_ERA + 1);
  }

  private FencingNumber after(FencingNumber before) {
    return new FencingNumber(Math.max(before.value() + 1, first().value()));
  }

  private boolean isOfEra(FencingNumber number) {
    return number.value() >= first().value();
  }

  private void observed(StoredObject o) {
    LeaseRecord r = LeaseRecord.read(o.spec());
    long now = scheduler.nanoTime();
    if (!o.resourceVersion().equals(observedVersion)) {
      observedVersion = o.resourceVersion();
      observedAt = now;
    }
    if (!r.holder().equals(self)) {
      tenure = Optional.empty();
    }
    unresolved.filter(a -> a.record.equals(r)).ifPresent(a -> granted(a, o));
    unresolved = Optional.empty();
    if (!isSettled()) {
      again();
    } else if (r.holder().equals(self) && !r.released() && isOfEra(r.fencing())) {
      write(Optional.of(o), r.fencing());
    } else if (r.released() || now - observedAt >= patience()) {
      write(Optional.of(o), after(r.fencing()));
    } else {
      again();
    }
  }

  private long patience() {
    return duration.toNanos() + duration.toNanos() / MARGIN_DIVISOR;
  }

  private void write(Optional<StoredObject> old, FencingNumber fencing) {
    if (!seeking) {
      running = false;
      return;
    }
    writes++;
    writing = true;
    LeaseRecord r = new LeaseRecord(self, fencing, new AppendId(self, writes), false);
    Attempt a = new Attempt(r, scheduler.nanoTime());
    old.map(o -> api.update(key, LeaseRecord.KIND, r.toSpec(), o.resourceVersion()))
        .orElseGet(() -> api.create(key, LeaseRecord.KIND, r.toSpec()))
        .whenComplete((o, failure) -> written(a, o, failure));
  }

  private void written(Attempt a, StoredObject o, Throwable failure) {
    writing = false;
    if (failure == null) {
      granted(a, o);
    } else if (isUnknown(failure)) {
      unresolved = Optional.of(a);
    }
    again();
  }

  private void granted(Attempt a, StoredObject o) {
    last = Optional.of(a.record);
    if (!seeking) {
      markReleased(o.resourceVersion());
      return;
    }
    observedVersion = o.resourceVersion();
    observedAt = scheduler.nanoTime();
    FencingNumber f = a.record.fencing();
    long since = tenure.filter(t -> t.fencing().equals(f)).map(Tenure::since).orElse(a.sentAt);
    if (tenure.isEmpty() || !tenure.get().fencing().equals(f)) {
      LOG.info("event=lease-held lease={} fencing={}", key.name(), f);
    }
    tenure = Optional.of(new Tenure(f, since, a.sentAt + duration.toNanos()));
  }

  private void again() {
    long step = duration.toNanos() / STEPS_PER_DURATION;
    long jitter = random.nextLong(step / STEPS_PER_DURATION + 1);
    scheduler.schedule(Duration.ofNanos(step - jitter), this::read);
  }

  private static boolean isNotFound(Throwable t) {
    return ObjectApiException.failureOf(t).orElse(null) instanceof ObjectApiFailure.NotFound;
  }

  private static boolean isUnknown(Throwable t) {
    return ObjectApiException.failureOf(t).orElse(null) instanceof ObjectApiFailure.OutcomeUnknown;
  }
}
