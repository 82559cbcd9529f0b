/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

/**
 * The owner's answer to a report, or slots that became free later.
 *
 * <p>It counts only if epoch and base are those of the holder, so that no grant counts twice.
 * Immutable and safe for use by several threads.
 *
 * @param key names what is leased
 * @param epoch of the report
 * @param sequence of the last report that the owner has taken; renews the lease
 * @param base the last grant that the holder is known to have seen
 * @param number of this grant; equal to base if nothing is added
 * @param added slots granted since base
 * @param contended true if others wait or too much is leased, so that the holder returns each slot
 *     as soon as it becomes free
 * @since 0.1
 */
public record SlotGrant(
    String key, long epoch, long sequence, long base, long number, int added, boolean contended) {}
