/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests of the platform's adapter, with stand-ins that speak its protocol. */
package org.larkkeel.platform;
