/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

/**
 * The owner's answer to a report, or a later grant of slots that became free.
 *
 * <p>The holder applies a grant only if its epoch and base match, so that no grant is applied
 * twice. Immutable and safe for use by several threads.
 *
 * @param key identifies the leased slots
 * @param epoch the epoch of the holder's report
 * @param sequence the sequence number of the last report that the owner has processed; renews the
 *     lease if it is the holder's last one
 * @param base the number of the last grant that the holder has confirmed
 * @param number the number of this grant; equal to base if no slot is added
 * @param added the slots granted since base
 * @param contended true if other holders wait or more slots are leased than exist; the holder then
 *     returns each slot as soon as it becomes free
 * @since 0.1
 */
public record SlotGrant(
    String key, long epoch, long sequence, long base, long number, int added, boolean contended) {}
