/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests of the adapter to the platform, with stand-ins that implement the platform's protocols. */
package org.larkkeel.platform;
