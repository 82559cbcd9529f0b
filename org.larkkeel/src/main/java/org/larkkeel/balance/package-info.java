/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The measured speeds of the engines of a service, and what follows from them for placement.
 *
 * <p>Invariant: speeds come from the engines' own work alone, and are between {@link
 * org.larkkeel.balance.ServiceSpeeds#MIN_SPEED} and {@link
 * org.larkkeel.balance.ServiceSpeeds#MAX_SPEED} of the service's median. While the speeds of a
 * service differ by less than {@link org.larkkeel.balance.ServiceSpeeds#UNEVEN_FACTOR}, they have
 * no effect.
 *
 * <p>The load that this answers: engines of one service whose speeds differ by more than a factor
 * of two. A call holds the memory of a slow engine for twice the time, and a prompt takes twice the
 * time there.
 *
 * <p>Bounds: at most 300 B for each engine and kind of work. Recording a sample takes constant
 * time; a refresh takes time in proportion to the measured engines and is due at most every {@link
 * org.larkkeel.balance.ServiceSpeeds#REFRESH_NANOS}.
 *
 * <p>Nothing here reads a clock or draws random numbers: callers pass the times, in nanoseconds of
 * a steady clock.
 */
package org.larkkeel.balance;
