package main

import "C" // builds hangup.c
