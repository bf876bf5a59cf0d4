//go:build cgo

#include <signal.h>

// SIGHUP ends a process by default, also while the Go runtime sets itself up. It is ignored until
// signal.Notify takes it. Settings are read after that, so a notice that is ignored is not missed.
static void ignore_hangup(int argc, char **argv, char **env) {
	(void)argc;
	(void)argv;
	(void)env;
	signal(SIGHUP, SIG_IGN);
}

// Functions in this section run before the constructors of the libraries.
__attribute__((section(".preinit_array"), used)) static void (*const first)(int, char **, char **) = ignore_hangup;
