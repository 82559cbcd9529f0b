/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests of quotas over many nodes. */
package org.larkkeel.quota;
