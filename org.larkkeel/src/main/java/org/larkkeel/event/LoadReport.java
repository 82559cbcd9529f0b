/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.ModelName;

/**
 * The load that an engine reported; it describes a time before its arrival.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param incarnation the incarnation of the engine
 * @param asOf the time that the report describes, in nanoseconds on this node's clock
 * @param slots the number of requests that the engine can run at once
 * @param running the number of requests of all nodes that hold a slot
 * @param waiting the number of requests of all nodes that are queued in the engine
 * @param kvPieces the total number of pieces of KV memory
 * @param kvPiecesFree the number of free pieces of KV memory
 * @param models the loaded models; empty if the engine did not report them
 * @since 0.1
 */
public record LoadReport(
    Incarnation incarnation,
    long asOf,
    int slots,
    int running,
    int waiting,
    int kvPieces,
    int kvPiecesFree,
    ImmutableSet<ModelName> models) {}
