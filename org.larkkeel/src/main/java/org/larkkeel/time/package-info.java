/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The clock used for times that are compared with other machines. */
package org.larkkeel.time;
