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
 * What an engine said about its load; it was true some time before it arrived.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param incarnation the start of the engine that reported
 * @param asOf the time that the report describes, nanoseconds on this node's clock
 * @param slots requests that it can run at once
 * @param running requests that hold a slot, of all nodes
 * @param waiting requests that wait inside the engine, of all nodes
 * @param kvPieces pieces of KV memory in all
 * @param kvPiecesFree pieces of KV memory that are free
 * @param models the models loaded; empty if it did not say
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
