/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** What callers ask for, as the reducer sees it. */
package org.larkkeel.call;
