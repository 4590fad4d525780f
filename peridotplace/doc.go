// Package peridotplace chooses backend servers from exact knowledge of the work
// at each: what this instance has sent and not seen end, and what the other
// instances say of theirs some milliseconds ago. It places whole requests at
// plain services, and prompts at model engines, where one engine may read the
// prompt and another generate the answer. It remembers which engine was given
// which parts of prompts, and refuses what cannot be on time.
//
// In contrast to peridotroute, which estimates from lagging reports of the
// servers and hashes equal blocks of a prompt, it never asks a server.
//
// A Placer has no goroutine, socket or clock: its caller passes the time since
// some start. It is not safe for concurrent use.
package peridotplace
